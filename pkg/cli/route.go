package cli

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"cassiapin/pkg/edge"
	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/result"
	"cassiapin/pkg/settings"
	"cassiapin/platform"
)

// collectAt makes the garbage collector run at half of the usual growth: hosts
// are small and memory is paid for, while the processor is mostly idle.
const collectAt = 50

func newRoute() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "route",
		Short: "Run a node on the users' platform",
		Long: `Route serves callers between them and the runners of the users' platform until
SIGTERM. It then leaves the directory, finishes its requests and exits with 0.
SIGHUP reads the settings again.`,
		Example: "  cassiapin route --settings settings.toml",
		Args:    usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" {
				file = os.Getenv(platform.SettingsVariable)
			}
			s, err := loadRouter(file)
			if err != nil {
				return err
			}
			return runRoute(cmd.Context(), file, s)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file; without it, the file that "+platform.SettingsVariable+" names")
	return cmd
}

func loadRouter(file string) (*settings.Router, error) {
	s, err := settings.LoadRouter(file)
	if err != nil {
		return nil, result.Wrap(err, result.SettingsError, result.NotRun, "the settings are invalid")
	}
	return s, nil
}

func runRoute(ctx context.Context, file string, s *settings.Router) error {
	debug.SetGCPercent(collectAt)
	var level slog.Level
	_ = level.UnmarshalText([]byte(s.Log.Level)) // Checked with the settings.
	log := eventlog.New(os.Stdout)
	defer log.Close()
	logger := log.Logger(level)
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	n, err := edge.New(s, logger)
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	var failure error
	for running := true; running; {
		select {
		case <-ctx.Done():
			running = false
		case failure = <-n.Failed():
			logger.Error("a service failed", "error", failure.Error())
			running = false
		case <-hangup:
			reload(file, logger)
		}
	}
	if err := n.Stop(); err != nil {
		return err
	}
	return failure
}

// reload checks the settings file again. Addresses and bounds are fixed for
// the life of a process, so changes take effect at the next start.
func reload(file string, log *slog.Logger) {
	if _, err := loadRouter(file); err != nil {
		log.Error(eventlog.SettingsFailed, "file", file, "error", err.Error())
		return
	}
	log.Info(eventlog.SettingsTaken, "file", file)
}
