package kernel

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"
	"gopkg.in/tomb.v2"

	"cassiapin/pkg/clock"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recordingService records the calls of its methods in a log.
type recordingService struct {
	name         string
	log          *[]string
	provisionErr error
	runErr       error
}

func (p *recordingService) Name() string { return p.name }

func (p *recordingService) Provision(*Kernel) error {
	*p.log = append(*p.log, "provision "+p.name)
	return p.provisionErr
}

func (p *recordingService) Run(t *tomb.Tomb) error {
	*p.log = append(*p.log, "run "+p.name)
	t.Go(func() error {
		if p.runErr != nil {
			return p.runErr
		}
		<-t.Dying()
		return nil
	})
	return nil
}

func (p *recordingService) Drain(context.Context) error {
	*p.log = append(*p.log, "drain "+p.name)
	return nil
}

func (p *recordingService) Cleanup() error {
	*p.log = append(*p.log, "cleanup "+p.name)
	return nil
}

func newKernel(t *testing.T, services ...Service) *Kernel {
	t.Helper()
	k := New(clock.Real{}, slog.New(slog.DiscardHandler))
	if err := k.Register(services...); err != nil {
		t.Fatal(err)
	}
	return k
}

// Guards against services that start before their dependencies or stop before
// their dependants.
func TestStartAndStopOrder(t *testing.T) {
	var log []string
	k := newKernel(t, &recordingService{name: "a", log: &log}, &recordingService{name: "b", log: &log})
	if err := k.Start(); err != nil {
		t.Fatal(err)
	}
	if err := k.Drain(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := k.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	want := "provision a, provision b, run a, run b, drain b, drain a, cleanup b, cleanup a"
	if d := cmp.Diff(want, strings.Join(log, ", ")); d != "" {
		t.Error(d)
	}
}

// Guards against a failed start that leaves services running, and against
// service failures that are not reported.
func TestFailures(t *testing.T) {
	var log []string
	broken := errors.New("broken")
	k := newKernel(t, &recordingService{name: "a", log: &log}, &recordingService{name: "b", log: &log, provisionErr: broken})
	if err := k.Start(); !errors.Is(err, broken) || !strings.Contains(err.Error(), "provision b") {
		t.Errorf("got %v", err)
	}
	k = newKernel(t, &recordingService{name: "c", log: &log, runErr: broken})
	if err := k.Start(); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-k.Failed():
		if !errors.Is(err, broken) || !strings.Contains(err.Error(), "service c") {
			t.Errorf("got %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the failure was not reported")
	}
	if err := k.Stop(context.Background()); err != nil {
		t.Error(err)
	}
}

// Guards against a lookup that returns the wrong service or a nil one.
func TestLookup(t *testing.T) {
	var log []string
	a := &recordingService{name: "a", log: &log}
	k := newKernel(t, a)
	if got, err := Lookup[Drainer](k, "a"); err != nil || got != Drainer(a) {
		t.Errorf("got %v, %v", got, err)
	}
	if _, err := Lookup[error](k, "a"); err == nil {
		t.Error("a service was returned as a type that it does not implement")
	}
	if _, err := Lookup[Service](k, "b"); err == nil {
		t.Error("an unknown name was found")
	}
	if err := k.Register(&recordingService{name: "a", log: &log}); err == nil {
		t.Error("a name was registered twice")
	}
}
