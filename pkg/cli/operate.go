package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"sort"
	"sync"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"cassiapin/pkg/admin"
	"cassiapin/pkg/config"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

// operatorFlags are the flags of commands that call operator interfaces.
type operatorFlags struct {
	nodes   []string
	keyFile string
	json    bool
}

func (f *operatorFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringSliceVar(&f.nodes, "node", envList("CASSIAPIN_NODES"),
		"base URLs of operator interfaces; the first that responds is used (CASSIAPIN_NODES)")
	cmd.Flags().StringVar(&f.keyFile, "key-file", os.Getenv("CASSIAPIN_KEY_FILE"),
		"file with the operator key (CASSIAPIN_KEY_FILE); without it CASSIAPIN_KEY is used")
	cmd.Flags().BoolVar(&f.json, "json", false, "print JSON")
}

func (f *operatorFlags) client() (*admin.Client, error) {
	key := os.Getenv("CASSIAPIN_KEY")
	if f.keyFile != "" {
		data, err := os.ReadFile(f.keyFile)
		if err != nil {
			return nil, result.Wrap(err, result.UsageError, result.NotRun, "the operator key cannot be read")
		}
		key = trimNewlines(data)
	}
	if key == "" {
		return nil, result.New(result.UsageError, "no operator key is given; use --key-file or CASSIAPIN_KEY")
	}
	if len(f.nodes) == 0 {
		return nil, result.New(result.UsageError, "no node is given; use --node or CASSIAPIN_NODES")
	}
	return admin.NewClient(key), nil
}

func trimNewlines(data []byte) string {
	for len(data) > 0 && (data[len(data)-1] == '\n' || data[len(data)-1] == '\r') {
		data = data[:len(data)-1]
	}
	return string(data)
}

// firstReachableStatus returns the status of the first node that responds.
func (f *operatorFlags) firstReachableStatus(ctx context.Context, c *admin.Client) (admin.Status, error) {
	var lastErr error
	for _, base := range f.nodes {
		s, err := c.Status(ctx, base)
		if err == nil {
			return s, nil
		}
		lastErr = err
	}
	return admin.Status{}, lastErr
}

// liveNodes returns a client and the operator addresses of all live members
// according to the first node that responds.
func (f *operatorFlags) liveNodes(ctx context.Context) (*admin.Client, []string, error) {
	c, err := f.client()
	if err != nil {
		return nil, nil, err
	}
	status, err := f.firstReachableStatus(ctx, c)
	if err != nil {
		return nil, nil, err
	}
	var addresses []string
	for _, m := range status.Members {
		if m.State != peer.Dead && m.AdminAddress != "" {
			addresses = append(addresses, m.AdminAddress)
		}
	}
	return c, addresses, nil
}

// maxParallelCalls limits the concurrent calls to nodes.
const maxParallelCalls = 16

// eachNode calls fn for every address with bounded parallelism.
func eachNode[T any](addresses []string, fn func(address string) (T, error)) ([]T, []error) {
	values, failures := make([]T, len(addresses)), make([]error, len(addresses))
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxParallelCalls)
	for i, address := range addresses {
		wait.Add(1)
		slots <- struct{}{}
		go func() {
			defer wait.Done()
			values[i], failures[i] = fn(address)
			<-slots
		}()
	}
	wait.Wait()
	return values, failures
}

func newStatus() *cobra.Command {
	var flags operatorFlags
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Show the state of all nodes",
		Long:    "Status queries one node for the members, then each member for its configuration in force, marks and runners.",
		Example: "  cassiapin status --node http://127.0.0.1:8081",
		Args:    withUsageError(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, addresses, err := flags.liveNodes(cmd.Context())
			if err != nil {
				return err
			}
			states, failures := eachNode(addresses, func(a string) (admin.Status, error) {
				return client.Status(cmd.Context(), a)
			})
			if flags.json {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(states)
			}
			printStatus(cmd.OutOrStdout(), addresses, states, failures)
			return nil
		},
	}
	flags.add(cmd)
	return cmd
}

func printStatus(w io.Writer, addresses []string, states []admin.Status, failures []error) {
	table := tabwriter.NewWriter(w, 2, 8, 2, ' ', 0)
	fmt.Fprintln(table, "NODE\tFAILURE DOMAIN\tCONFIGURATION\tPLATFORM\tMEMBERS\tRUNNERS\tREMARKS")
	marks := config.Marks{}
	for i, s := range states {
		if failures[i] != nil {
			fmt.Fprintf(table, "%s\t-\t-\t-\t-\t-\t%v\n", addresses[i], failures[i])
			continue
		}
		marks, _ = marks.Join(s.Marks)
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%d\t%d\t%s\n",
			s.Node, s.FailureDomain, s.Config, availability(s.Platform), liveMembers(s.Members), len(s.Runners), remarks(s))
	}
	table.Flush()
	keys := make([]string, 0, len(marks))
	for k := range marks {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		fmt.Fprintf(w, "%s: %s since %s %s\n", k, marks[k].State, marks[k].Stamp, marks[k].Reason)
	}
}

func availability(ok bool) string {
	if ok {
		return "available"
	}
	return "away"
}

func liveMembers(members []peer.Member) int {
	n := 0
	for _, m := range members {
		if m.State != peer.Dead {
			n++
		}
	}
	return n
}

func remarks(s admin.Status) string {
	text := ""
	if s.Isolated {
		text = "isolated "
	}
	if s.Refused > s.Config {
		text += fmt.Sprintf("refused configuration %d: %s", s.Refused, s.RefusedReason)
	}
	return text
}

func newDomain() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "domain",
		Short: "Take a failure domain out of service or return it to service",
	}
	cmd.AddCommand(
		newMark("out NAME", "Stop sending new work to a failure domain", func(name string) admin.MarkRequest {
			return admin.MarkRequest{Domain: name, State: config.MarkOut}
		}),
		newMark("in NAME", "Return a failure domain to service", func(name string) admin.MarkRequest {
			return admin.MarkRequest{Domain: name, State: config.MarkIn}
		}),
	)
	return cmd
}

func newWithdraw() *cobra.Command {
	return newMark("withdraw MODEL@VERSION", "Withdraw a version permanently", func(name string) admin.MarkRequest {
		return admin.MarkRequest{Version: name, State: config.MarkWithdrawn}
	})
}

// newMark returns a command that sets a mark through the first reachable node.
// Setting a mark is idempotent, so the command tries the next node when it is
// unknown whether the previous one set the mark.
func newMark(use, short string, request func(name string) admin.MarkRequest) *cobra.Command {
	var flags operatorFlags
	var reason string
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Long:  short + ". It takes effect on every node within 3 s, even while the platform is unreachable.",
		Args:  withUsageError(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			mark := request(args[0])
			mark.Reason = reason
			for _, base := range flags.nodes {
				if _, err = client.SetMark(cmd.Context(), base, mark); err == nil {
					fmt.Fprintln(cmd.OutOrStdout(), args[0], mark.State)
					return nil
				}
				if result.CodeOf(err) != result.NodeUnreachable {
					return err
				}
			}
			return err
		},
	}
	flags.add(cmd)
	cmd.Flags().StringVar(&reason, "reason", "", "reason shown in the status and the timeline")
	return cmd
}

func newTimeline() *cobra.Command {
	var flags operatorFlags
	filters := map[string]*string{}
	cmd := &cobra.Command{
		Use:     "timeline",
		Short:   "Show the events of all nodes in one ordered list",
		Example: "  cassiapin timeline --node http://127.0.0.1:8081 --request 5f0c1d",
		Args:    withUsageError(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, addresses, err := flags.liveNodes(cmd.Context())
			if err != nil {
				return err
			}
			query := url.Values{}
			for name, value := range filters {
				if *value != "" {
					query.Set(name, *value)
				}
			}
			timelines, failures := eachNode(addresses, func(a string) (admin.Timeline, error) {
				return client.Timeline(cmd.Context(), a, query)
			})
			return printTimeline(cmd, addresses, timelines, failures, flags.json)
		},
	}
	flags.add(cmd)
	for _, name := range []string{"request", "upstream", "version", "domain", "kind"} {
		filters[name] = cmd.Flags().String(name, "", "show only events of this "+name)
	}
	return cmd
}

func printTimeline(cmd *cobra.Command, addresses []string, timelines []admin.Timeline, failures []error, asJSON bool) error {
	var sources [][]timeline.Event
	for i, p := range timelines {
		if failures[i] != nil {
			fmt.Fprintf(cmd.ErrOrStderr(), "%s: %v\n", addresses[i], failures[i])
			continue
		}
		if p.Dropped > 0 {
			fmt.Fprintf(cmd.ErrOrStderr(), "%s: %d older events are gone\n", p.Node, p.Dropped)
		}
		sources = append(sources, p.Events)
	}
	encoder := json.NewEncoder(cmd.OutOrStdout())
	for _, e := range timeline.Merge(sources...) {
		if asJSON {
			if err := encoder.Encode(e); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintln(cmd.OutOrStdout(), e)
	}
	return nil
}
