package cli

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"cassiapin/pkg/node"
	"cassiapin/pkg/settings"
)

func newNode() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "node",
		Short: "Run a node",
		Long: `Node serves callers until SIGTERM or SIGINT. It then withdraws from the entry
addresses, drains open requests, writes its bills, releases its leases and exits
with 0.`,
		Example: "  cassiapin node --settings node.toml",
		Args:    withUsageError(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := loadSettings(file)
			if err != nil {
				return err
			}
			return runNode(cmd.Context(), s, newLogger(s.Log))
		},
	}
	cmd.Flags().StringVar(&file, "settings", "node.toml", "settings file")
	return cmd
}

func runNode(ctx context.Context, s *settings.Settings, log *slog.Logger) error {
	n, err := node.New(s, node.Options{Log: log})
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	failure := waitForFailure(ctx, n.Failed())
	if failure != nil {
		log.Error("a service failed", "error", failure)
	}
	if err := n.Stop(context.Background()); err != nil {
		return fmt.Errorf("graceful shutdown: %w", err)
	}
	return failure
}

func newLogger(s settings.Log) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(s.Level)) // Validated when the settings were loaded.
	options := &slog.HandlerOptions{Level: level}
	if s.Format == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, options))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, options))
}
