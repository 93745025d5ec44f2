package cli

import (
	"encoding/json"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"cassiapin/pkg/explain"
	"cassiapin/pkg/result"
)

func newExplain() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Show the path of a request from the nodes' logs",
		Long: `Explain reads log files of any number of nodes, or standard input, and prints
each step of the request with the given id, with the state that the node saw at
that time and the age of that state.`,
		Example: "  cassiapin explain 9c41d07be2a35f68 node-*.log",
		Args:    withUsageError(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(cmd.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			steps := explain.Request(args[0], lines)
			if len(steps) == 0 {
				return result.New(result.NotFound, "no line is about request %q", args[0])
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(steps)
			}
			return explain.Write(cmd.OutOrStdout(), steps)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

// readLogs reads the files in order, or standard input if there are none.
func readLogs(stdin io.Reader, files []string) ([]explain.Line, error) {
	if len(files) == 0 {
		return explain.Read(stdin)
	}
	var all []explain.Line
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open log file")
		}
		lines, err := explain.Read(file)
		_ = file.Close() // Opened read-only.
		if err != nil {
			return nil, errors.Wrapf(err, "log file %s", name)
		}
		all = append(all, lines...)
	}
	return all, nil
}
