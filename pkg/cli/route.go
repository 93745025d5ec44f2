package cli

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"cassiapin/pkg/edge"
	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/result"
	"cassiapin/pkg/settings"
	"cassiapin/platform"
)

// gcPercent makes the garbage collector run at half of the usual growth: hosts
// are small and memory is paid for, while the processor is mostly idle.
const gcPercent = 50

func newRoute() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "route",
		Short: "Run a node on the users' platform",
		Long: `Route serves callers between them and the runners of the users' platform until
SIGTERM. It then leaves the directory, finishes its requests and exits with 0.
SIGHUP reads the settings again.`,
		Example: "  cassiapin route --settings settings.toml",
		Args:    withUsageError(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" {
				file = os.Getenv(platform.SettingsVariable)
			}
			s, err := loadRouterSettings(file)
			if err != nil {
				return err
			}
			return runRoute(cmd.Context(), file, s)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file; without it, the file that "+platform.SettingsVariable+" names")
	return cmd
}

func loadRouterSettings(file string) (*settings.Router, error) {
	s, err := settings.LoadRouter(file)
	if err != nil {
		return nil, result.Wrap(err, result.SettingsError, result.NotRun, "the settings are invalid")
	}
	return s, nil
}

func runRoute(ctx context.Context, file string, s *settings.Router) error {
	debug.SetGCPercent(gcPercent)
	level := &slog.LevelVar{}
	_ = level.UnmarshalText([]byte(s.Log.Level)) // Checked with the settings.
	log := eventlog.New(os.Stdout)
	defer log.Close()
	logger := log.Logger(level)
	current := &settingsFile{name: file, loadedModTime: modTime(file), level: level, log: logger}
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	n, err := edge.New(s, logger)
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	var failure error
	for running := true; running; {
		select {
		case <-ctx.Done():
			running = false
		case failure = <-n.Failed():
			logger.Error("a service failed", "error", failure.Error())
			running = false
		case <-hangup:
			current.reload()
		case <-ticker.C:
			if at := modTime(file); !at.Equal(current.loadedModTime) {
				current.reload()
			}
		}
	}
	if err := n.Stop(); err != nil {
		return err
	}
	return failure
}

// settingsPollInterval is the period at which the settings file is looked at; it may
// change without a signal.
const settingsPollInterval = time.Second

// settingsFile is the settings file of a running process.
type settingsFile struct {
	name string
	// loadedModTime is when the file that was read last had been modified.
	loadedModTime time.Time
	level         *slog.LevelVar
	log           *slog.Logger
}

// modTime returns when the file was modified last, zero if that is unknown.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings again. Only the log level changes at once:
// addresses and bounds are fixed for the life of a process and change at its
// next start. Settings that are invalid change nothing.
func (f *settingsFile) reload() {
	f.loadedModTime = modTime(f.name)
	s, err := loadRouterSettings(f.name)
	if err != nil {
		f.log.Error(eventlog.SettingsFailed, "file", f.name, "error", err.Error())
		return
	}
	_ = f.level.UnmarshalText([]byte(s.Log.Level)) // Checked with the settings.
	f.log.Info(eventlog.SettingsTaken, "file", f.name, "log_level", s.Log.Level)
}
