package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"cassiapin/pkg/billing"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/result"
)

// billsFlags select and format bills.
type billsFlags struct {
	objectURLs   []string
	organisation string
	from, to     string
	list, json   bool
}

func newBills() *cobra.Command {
	var f billsFlags
	cmd := &cobra.Command{
		Use:   "bills",
		Short: "List and reconcile bills",
		Long: `Bills reads the batches in the platform and counts each bill id once, so bills that
two nodes wrote do not count twice. With --from and --to, in RFC 3339 format, only
the batches of those hours are read.`,
		Example: "  cassiapin bills --platform http://127.0.0.1:9000 --organisation arrangers --list",
		Args:    withUsageError(cobra.NoArgs),
		RunE:    func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	cmd.Flags().StringSliceVar(&f.objectURLs, "platform", envList("CASSIAPIN_PLATFORM"), "base URLs of the object API (CASSIAPIN_PLATFORM)")
	cmd.Flags().StringVar(&f.organisation, "organisation", "", "only this organisation")
	cmd.Flags().StringVar(&f.from, "from", "", "start of the time range, inclusive")
	cmd.Flags().StringVar(&f.to, "to", "", "end of the time range, exclusive")
	cmd.Flags().BoolVar(&f.list, "list", false, "list individual bills")
	cmd.Flags().BoolVar(&f.json, "json", false, "print JSON")
	return cmd
}

func (f *billsFlags) filter() (billing.Filter, error) {
	filter := billing.Filter{Organisation: f.organisation}
	for _, field := range []struct {
		text string
		time *time.Time
	}{{f.from, &filter.From}, {f.to, &filter.To}} {
		if field.text == "" {
			continue
		}
		t, err := time.Parse(time.RFC3339, field.text)
		if err != nil {
			return filter, result.New(result.UsageError, "%q is not a time such as 2026-01-02T15:04:05Z", field.text)
		}
		*field.time = t
	}
	return filter, nil
}

func (f *billsFlags) run(cmd *cobra.Command) error {
	filter, err := f.filter()
	if err != nil {
		return err
	}
	store, err := objectstore.New(objectstore.Options{BaseURLs: f.objectURLs})
	if err != nil {
		return err
	}
	if f.list {
		return f.printList(cmd, store, filter)
	}
	sum, err := billing.Reconcile(cmd.Context(), store, filter)
	if err != nil {
		return err
	}
	if f.json {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(sum)
	}
	printTotals(cmd.OutOrStdout(), sum)
	return nil
}

// printList prints each bill id once.
func (f *billsFlags) printList(cmd *cobra.Command, store objectstore.Store, filter billing.Filter) error {
	seen := make(map[string]bool)
	encoder := json.NewEncoder(cmd.OutOrStdout())
	var failure error
	_, err := billing.Each(cmd.Context(), store, filter, func(b billing.Bill) {
		if seen[b.ID] || failure != nil {
			return
		}
		seen[b.ID] = true
		if f.json {
			failure = encoder.Encode(b)
			return
		}
		target := b.Service
		if b.Model != "" {
			target = b.Model + "@" + b.Version
		}
		_, failure = fmt.Fprintf(cmd.OutOrStdout(), "%s %s %s %s %d+%d tokens price %.4f\n",
			b.Time.UTC().Format(time.RFC3339), b.ID, b.Organisation, target,
			b.Usage.PromptTokens, b.Usage.CompletionTokens, b.Price)
	})
	if err != nil {
		return err
	}
	return failure
}

func printTotals(w io.Writer, sum billing.Summary) {
	names := make([]string, 0, len(sum.Organisations))
	for name := range sum.Organisations {
		names = append(names, name)
	}
	sort.Strings(names)
	t := tabwriter.NewWriter(w, 2, 8, 2, ' ', 0)
	fmt.Fprintln(t, "ORGANISATION\tBILLS\tCUT OFF\tPROMPT TOKENS\tCOMPLETION TOKENS\tPRICE\tOVERHEAD")
	for _, name := range names {
		s := sum.Organisations[name]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.4f\t%.4f\n",
			name, s.Bills, s.Incomplete, s.Usage.PromptTokens, s.Usage.CompletionTokens, s.Price, s.Overhead)
	}
	t.Flush()
	fmt.Fprintf(w, "%d batches, %d repeated bills counted once, %d unreadable\n", sum.Batches, sum.Duplicates, sum.Malformed)
}
