package cli

import (
	"context"
	"fmt"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"cassiapin/pkg/config"
	"cassiapin/pkg/standin"
	"cassiapin/pkg/standin/engine"
	"cassiapin/pkg/standin/hostlist"
	"cassiapin/pkg/standin/httpservice"
	"cassiapin/pkg/standin/objectapi"
	"cassiapin/pkg/standin/rating"
	"cassiapin/pkg/standin/weights"
)

// standinFlags are the flags of the standin command and the stop functions of
// the stand-ins that it started.
type standinFlags struct {
	objects, rating, weights, hosts string
	timeScale                       float64
	cold                            bool
	seed                            int64
	stops                           []func()
}

func newStandin() *cobra.Command {
	var f standinFlags
	cmd := &cobra.Command{
		Use:   "standin PATH...",
		Short: "Serve stand-ins for the upstreams and the platform",
		Long: `Standin reads declarations and serves, in one process, an emulated model engine at
the address of each upstream, a plain service at each endpoint, and the object API,
rating service, weight store and host list. It is meant for trials and tests.`,
		Example: "  cassiapin standin examples/berceuse",
		Args:    withUsageError(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			bundle, err := readDeclarations(args)
			if err != nil {
				return err
			}
			defer f.stop()
			if err := f.start(bundle.Declarations); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "object API http://%s, rating http://%s, %d engines\n",
				f.objects, f.rating, len(bundle.Declarations.Upstreams))
			<-cmd.Context().Done()
			return nil
		},
	}
	cmd.Flags().StringVar(&f.objects, "objects", "127.0.0.1:9000", "address of the object API")
	cmd.Flags().StringVar(&f.rating, "rating", "127.0.0.1:9001", "address of the rating service")
	cmd.Flags().StringVar(&f.weights, "weights", "127.0.0.1:9002", "address of the weight store")
	cmd.Flags().StringVar(&f.hosts, "hosts", "127.0.0.1:9003", "address of the host list")
	cmd.Flags().Float64Var(&f.timeScale, "time-scale", 0.1, "factor on the engines' durations; 1 is the speed of real engines, less is faster")
	cmd.Flags().BoolVar(&f.cold, "cold", false, "start the engines cold")
	cmd.Flags().Int64Var(&f.seed, "seed", 1, "seed of the answers")
	return cmd
}

func (f *standinFlags) stop() {
	for i := len(f.stops) - 1; i >= 0; i-- {
		f.stops[i]()
	}
}

type standinServer interface {
	Start(listenAddr string) (url string, stop func(), err error)
}

func (f *standinFlags) serve(address string, s standinServer) error {
	_, stop, err := s.Start(address)
	if err == nil {
		f.stops = append(f.stops, stop)
	}
	return err
}

func (f *standinFlags) start(d config.Declarations) error {
	qualityModel := standin.NewQualityModel()
	setDeclaredQuality(qualityModel, d)
	servers := map[string]standinServer{
		f.objects: objectapi.New(objectapi.Options{WritesPerSecond: 300, ReadsPerSecond: 2000}),
		f.rating: rating.New(rating.Options{
			Quality: qualityModel, Delay: 100 * time.Millisecond, Jitter: 100 * time.Millisecond,
			MissingShare: 0.1, Noise: 0.05, Seed: f.seed,
		}),
		f.weights: weights.New(weights.Options{}),
		f.hosts:   hostlist.New(time.Second, nil),
	}
	for _, u := range d.Upstreams {
		servers[hostOf(u.URL)] = engine.New(f.engineOptions(u, qualityModel))
	}
	for _, s := range d.Services {
		for _, e := range s.Endpoints {
			servers[hostOf(e.URL)] = httpservice.New(httpservice.Options{})
		}
	}
	for address, s := range servers {
		if err := f.serve(address, s); err != nil {
			return err
		}
	}
	return nil
}

func (f *standinFlags) engineOptions(u config.Upstream, qualityModel *standin.QualityModel) engine.Options {
	o := engine.Options{
		Name: u.Name, Capacity: u.Capacity, ColdLimit: u.ColdLimit, Fencing: u.Fencing, Warm: !f.cold,
		TimeScale: f.timeScale, Seed: f.seed, Quality: qualityModel, WeightsURL: "http://" + f.weights,
	}
	for _, ref := range u.Serves {
		o.Versions = append(o.Versions, engine.Version{Ref: ref})
	}
	return o
}

// setDeclaredQuality sets the quality of each version in the model to its
// declared quality: that of the class, or else the prior.
func setDeclaredQuality(qualityModel *standin.QualityModel, d config.Declarations) {
	for _, m := range d.Models {
		for _, v := range m.Versions {
			for _, c := range d.Classes {
				quality, ok := v.ClassQuality[c.Name]
				if !ok {
					quality = v.PriorQuality
				}
				qualityModel.Set(c.Name, config.VersionRef{Model: m.Name, Version: v.Name}, quality)
			}
		}
	}
}

func hostOf(text string) string {
	u, err := url.Parse(text)
	if err != nil {
		return text // Unreachable: URLs are validated with the declarations.
	}
	return u.Host
}

// waitForFailure returns the first error from failed, or nil when ctx ends.
func waitForFailure(ctx context.Context, failed <-chan error) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}
