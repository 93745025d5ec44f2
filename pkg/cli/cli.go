// Package cli is the command line of cassiapin.
package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"cassiapin/pkg/result"
)

// The exit codes of the command; docs/errors.md has their table.
const (
	exitOK          = 0
	exitError       = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitConflict    = 4
	exitUnreachable = 5
)

// Main runs the command line and returns the exit code. The first SIGINT or
// SIGTERM ends the command in good order.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	root.SetArgs(args)
	cmd, err := root.ExecuteContextC(ctx)
	if err != nil && cmd == root && result.CodeOf(err) == 0 {
		err = usageError(err) // An unknown command.
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "cassiapin:", err)
	}
	return exitCode(err)
}

// usageError numbers the error of a wrong command line.
func usageError(err error) error {
	return result.Wrap(err, result.UsageError, result.NotRun, "the command line is wrong")
}

// usage numbers the errors of a check of arguments.
func usage(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return usageError(err)
		}
		return nil
	}
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	switch result.CodeOf(err) {
	case result.UsageError:
		return exitUsage
	case result.DeclarationError, result.SettingsError:
		return exitInvalid
	case result.PublishConflict:
		return exitConflict
	case result.PlatformUnavailable, result.PlatformLimited, result.NodeUnreachable:
		return exitUnreachable
	}
	return exitError
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "cassiapin",
		Short: "Model-aware router for versions and cascades",
		Long: `cassiapin stands between callers that speak the OpenAI protocol and many model
runners. It sends each request to a model and version that its organisation
allows at the quality target for the least cost.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError(err) })
	root.AddCommand(
		newNode(), newRoute(), newExplain(), newCheck(), newPublish(), newStatus(), newDomain(), newWithdraw(), newTimeline(), newBills(),
		newKeys(), newStandin(), newDemo(), newBench(), newVersion(),
	)
	return root
}

// version is the version of the binary; release builds set it at link time.
var version = "development"

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of the binary",
		Args:  usage(cobra.NoArgs),
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintln(cmd.OutOrStdout(), "cassiapin", version)
		},
	}
}
