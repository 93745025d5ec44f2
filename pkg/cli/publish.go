package cli

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cassiapin/pkg/config"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/publish"
	"cassiapin/pkg/result"
	"cassiapin/pkg/settings"
)

func newCheck() *cobra.Command {
	var nodeSettings, routerSettings bool
	cmd := &cobra.Command{
		Use:   "check PATH...",
		Short: "Check declarations or settings offline",
		Long: `Check reads declaration files, and every file *` + config.FileSuffix + ` in folders,
merges them and reports each error with its file and line. With --settings the
paths are settings files of nodes instead, with --route those of nodes on the
users' platform.`,
		Example: "  cassiapin check examples/berceuse\n  cassiapin check --settings node.toml",
		Args:    withUsageError(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			switch {
			case nodeSettings:
				return checkSettings(cmd, args, func(file string) error {
					_, err := loadSettings(file)
					return err
				})
			case routerSettings:
				return checkSettings(cmd, args, func(file string) error {
					_, err := loadRouterSettings(file)
					return err
				})
			}
			bundle, err := readDeclarations(args)
			if err != nil {
				return err
			}
			hash, err := config.Hash(bundle.Declarations)
			if err != nil {
				return err
			}
			d := bundle.Declarations
			fmt.Fprintf(cmd.OutOrStdout(), "valid: %d organisations, %d classes, %d models, %d upstreams, %d services, hash %.12s\n",
				len(d.Organisations), len(d.Classes), len(d.Models), len(d.Upstreams), len(d.Services), hash)
			return nil
		},
	}
	cmd.Flags().BoolVar(&nodeSettings, "settings", false, "check settings files of nodes")
	cmd.Flags().BoolVar(&routerSettings, "route", false, "check settings files of nodes on the users' platform")
	return cmd
}

func checkSettings(cmd *cobra.Command, files []string, check func(file string) error) error {
	for _, file := range files {
		if err := check(file); err != nil {
			return err
		}
		fmt.Fprintln(cmd.OutOrStdout(), "valid:", file)
	}
	return nil
}

// loadSettings reads a settings file; its errors carry result.SettingsError.
func loadSettings(file string) (*settings.Settings, error) {
	s, err := settings.Load(file)
	if err != nil {
		return nil, result.Wrap(err, result.SettingsError, result.NotRun, "the settings are invalid")
	}
	return s, nil
}

// readDeclarations reads and validates declarations; its errors carry
// result.DeclarationError.
func readDeclarations(paths []string) (*config.Bundle, error) {
	files, err := config.ReadFiles(paths)
	if err != nil {
		return nil, result.Wrap(err, result.DeclarationError, result.NotRun, "the declarations cannot be read")
	}
	bundle, err := config.Parse(files)
	if err != nil {
		return nil, result.Wrap(err, result.DeclarationError, result.NotRun, "the declarations are invalid")
	}
	return bundle, nil
}

func newPublish() *cobra.Command {
	var objectURLs []string
	var options publish.Options
	cmd := &cobra.Command{
		Use:   "publish PATH...",
		Short: "Publish declarations as the next configuration",
		Long: `Publish checks the declarations like "check" and stores them as the next numbered
configuration. When two operators publish concurrently, one of them gets exit
code 4 and nothing is overwritten. --expect also refuses declarations that are
based on another configuration than the one in force.`,
		Example: "  cassiapin publish --platform http://127.0.0.1:9000 --expect 41 examples/berceuse",
		Args:    withUsageError(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			bundle, err := readDeclarations(args)
			if err != nil {
				return err
			}
			store, err := objectstore.New(objectstore.Options{BaseURLs: objectURLs})
			if err != nil {
				return err
			}
			options.Now = time.Now()
			stored, err := publish.Publish(cmd.Context(), store, bundle.Declarations, options)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "published configuration %d, hash %.12s\n", stored.Number, stored.Hash)
			return nil
		},
	}
	cmd.Flags().StringSliceVar(&objectURLs, "platform", envList("CASSIAPIN_PLATFORM"), "base URLs of the object API (CASSIAPIN_PLATFORM)")
	cmd.Flags().StringVar(&options.Publisher, "publisher", os.Getenv("USER"), "name of the operator or pipeline")
	cmd.Flags().Uint64Var(&options.Expect, "expect", 0, "number of the configuration that the declarations are based on")
	return cmd
}

// envList returns the comma-separated values of an environment variable.
func envList(name string) []string {
	if v := os.Getenv(name); v != "" {
		return strings.Split(v, ",")
	}
	return nil
}
