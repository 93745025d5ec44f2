// Package cli implements the command line of cassiapin.
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

// Exit codes; docs/errors.md documents them.
const (
	exitOK          = 0
	exitError       = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitConflict    = 4
	exitUnreachable = 5
)

// Main runs the command line and returns the exit code. The first SIGINT or
// SIGTERM cancels the command's context, which ends the command gracefully.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	root.SetArgs(args)
	cmd, err := root.ExecuteContextC(ctx)
	if err != nil && cmd == root && result.CodeOf(err) == 0 {
		err = wrapUsageError(err) // An unknown command.
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "cassiapin:", err)
	}
	return exitCode(err)
}

// wrapUsageError gives a command line error the code result.UsageError.
func wrapUsageError(err error) error {
	return result.Wrap(err, result.UsageError, result.NotRun, "the command line is wrong")
}

// withUsageError makes an argument check return errors with the code
// result.UsageError.
func withUsageError(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return wrapUsageError(err)
		}
		return nil
	}
}

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
		Long: `cassiapin routes requests from callers that use the OpenAI protocol to many model
runners. It sends each request to the cheapest model and version that its
organisation allows and that meets the quality target.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return wrapUsageError(err) })
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
		Args:  withUsageError(cobra.NoArgs),
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintln(cmd.OutOrStdout(), "cassiapin", version)
		},
	}
}
