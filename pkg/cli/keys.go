package cli

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"cassiapin/pkg/peer/keys"
)

func newKeys() *cobra.Command {
	var names []string
	cmd := &cobra.Command{
		Use:   "keys FOLDER",
		Short: "Create a CA and node certificates for trials",
		Long: `Keys creates a certificate authority in FOLDER and one node certificate in
FOLDER/NAME for each --name. Use your own authority in production; nodes reload
changed files without a restart.`,
		Example: "  cassiapin keys trial-keys --name entry-1 --name entry-2",
		Args:    withUsageError(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			now := time.Now()
			if err := keys.MakeCA(args[0], now); err != nil {
				return err
			}
			for _, name := range names {
				folder := args[0] + "/" + name
				if err := keys.MakeNodeCert(args[0], folder, name, now); err != nil {
					return err
				}
				fmt.Fprintln(cmd.OutOrStdout(), folder)
			}
			return nil
		},
	}
	cmd.Flags().StringSliceVar(&names, "name", []string{"node"}, "name of a node; may be given more than once")
	return cmd
}
