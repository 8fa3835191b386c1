package main

import (
	"context"
	"os"

	"github.com/spf13/cobra"

	"quillshunt/internal/config"
)

// newRootCommand returns the root command. Without a subcommand it runs a controller.
func newRootCommand() *cobra.Command {
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
			return runController(cmd.Context(), settingsPath, optionsPath)
		},
	}
	root.Flags().StringVar(&settingsPath, "config", "", "settings file of this controller (JSON)")
	root.Flags().StringVar(&optionsPath, "options", os.Getenv("QUILLSHUNT_OPTIONS"),
		"operators' options (TOML); also by QUILLSHUNT_OPTIONS")
	if err := root.MarkFlagRequired("config"); err != nil {
		panic(err) // the flag is defined above
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(
		newCheckCommand(), newVersionCommand(), newStatusCommand(),
		newSubmitCommand(), newShowCommand(), newCancelCommand(),
	)
	return root
}

// runController loads the settings and the options and runs a controller with them.
func runController(ctx context.Context, settingsPath, optionsPath string) error {
	log, err := newLogger()
	if err != nil {
		return err
	}
	settings, err := config.Load(settingsPath)
	if err != nil {
		return err
	}
	options, warnings, err := config.LoadOptions(optionsPath)
	if err != nil {
		return err
	}
	for _, warning := range warnings {
		log.Warn("options file uses an old option name", "node", settings.NodeName, "reason", warning)
	}
	return serve(ctx, settings, options, log)
}
