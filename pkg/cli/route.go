package cli

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"cassiapin/pkg/edge"
	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/result"
	"cassiapin/pkg/settings"
	"cassiapin/platform"
)

// gcPercent is half of Go's default heap growth between garbage collections:
// hosts are small and memory is billed, while the processor is mostly idle.
const gcPercent = 50

func newRoute() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "route",
		Short: "Run a node on the users' platform",
		Long: `Route routes requests from callers to the runners of the users' platform until
SIGTERM. It then leaves the directory, drains open requests and exits with 0.
SIGHUP reloads the settings.`,
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
	cmd.Flags().StringVar(&file, "settings", "", "settings file (default: the value of "+platform.SettingsVariable+")")
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
	_ = level.UnmarshalText([]byte(s.Log.Level)) // Validated when the settings were loaded.
	log := eventlog.New(os.Stdout)
	defer log.Close()
	logger := log.Logger(level)
	current := &settingsFile{name: file, loadedModTime: modTime(file), level: level, log: logger}
	// The grace period begins at the signal, also if the node is still starting.
	var terminated atomic.Pointer[time.Time]
	context.AfterFunc(ctx, func() {
		now := time.Now()
		terminated.Store(&now)
	})
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
	requested := time.Now()
	if at := terminated.Load(); at != nil {
		requested = *at
	}
	if err := n.Stop(requested); err != nil {
		return err
	}
	return failure
}

// settingsPollInterval is the interval at which the settings file is checked for
// changes, since it may change without a SIGHUP.
const settingsPollInterval = time.Second

// settingsFile is the settings file of a running process.
type settingsFile struct {
	name string
	// loadedModTime is the modification time of the file at its last load.
	loadedModTime time.Time
	level         *slog.LevelVar
	log           *slog.Logger
}

// modTime returns the modification time of the file, or zero if it is unknown.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings file again. Only the log level takes effect at once;
// addresses and bounds take effect when the process restarts. Invalid settings
// change nothing.
func (f *settingsFile) reload() {
	f.loadedModTime = modTime(f.name)
	s, err := loadRouterSettings(f.name)
	if err != nil {
		f.log.Error(eventlog.SettingsFailed, "file", f.name, "error", err.Error())
		return
	}
	_ = f.level.UnmarshalText([]byte(s.Log.Level)) // Validated when the settings were loaded.
	f.log.Info(eventlog.SettingsTaken, "file", f.name, "log_level", s.Log.Level)
}
