package main

import (
	"fmt"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"quillshunt/internal/config"
)

// version is the release; see CHANGELOG.md.
const version = "0.2.0"

func newRoot() *cobra.Command {
	var settingsPath, optionsPath string
	root := &cobra.Command{
		Use:   "quillshunt --config FILE",
		Short: "A cluster scheduler for preemptible work on rented machines",
		Long: `quillshunt runs one controller of a deployment until it is killed.

The settings file (JSON) comes from the platform. The variable LOG_LEVEL (error, info or
debug) sets how much is written to standard error.`,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			log, err := newLogger()
			if err != nil {
				return err
			}
			s, err := config.Load(settingsPath)
			if err != nil {
				return err
			}
			o, warnings, err := config.LoadOptions(optionsPath)
			if err != nil {
				return err
			}
			for _, w := range warnings {
				log.Warn("options", "node", s.NodeName, "reason", w)
			}
			return serve(cmd.Context(), s, o, log)
		},
	}
	root.Flags().StringVar(&settingsPath, "config", "", "settings file of this controller (JSON)")
	root.Flags().StringVar(&optionsPath, "options", os.Getenv("QUILLSHUNT_OPTIONS"), "operators' options (TOML); also by QUILLSHUNT_OPTIONS")
	if err := root.MarkFlagRequired("config"); err != nil {
		panic(err) // the flag is defined above
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(newCheck(), newVersion(), newStatus())
	root.AddCommand(newClient()...)
	return root
}

func newCheck() *cobra.Command {
	var optionsPath string
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file, and operators' options",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := config.Load(args[0])
			if err != nil {
				return err
			}
			_, warnings, err := config.LoadOptions(optionsPath)
			if err != nil {
				return err
			}
			for _, w := range warnings {
				if _, err := fmt.Fprintf(cmd.ErrOrStderr(), "%s: warning: %s\n", optionsPath, w); err != nil {
					return err
				}
			}
			for _, w := range s.Warnings() {
				if _, err := fmt.Fprintf(cmd.ErrOrStderr(), "%s: warning: %s\n", args[0], w); err != nil {
					return err
				}
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: ok, controller %s of %d\n", args[0], s.NodeName, len(s.Members)+1)
			return err
		},
	}
	check.Flags().StringVar(&optionsPath, "options", "", "operators' options (TOML)")
	return check
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "quillshunt", version)
			return err
		},
	}
}

// newLogger writes to standard error in the amount that LOG_LEVEL asks for.
func newLogger() (*slog.Logger, error) {
	var level slog.Level
	switch v := os.Getenv("LOG_LEVEL"); v {
	case "", "info":
		level = slog.LevelInfo
	case "debug":
		level = slog.LevelDebug
	case "error":
		level = slog.LevelError
	default:
		return nil, fmt.Errorf("LOG_LEVEL: must be error, info or debug, got %q", v)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), nil
}
