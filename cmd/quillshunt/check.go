package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"quillshunt/internal/config"
)

// newCheckCommand returns the command that validates a settings file and an options file.
func newCheckCommand() *cobra.Command {
	var optionsPath string
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file, and operators' options",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return checkFiles(cmd.OutOrStdout(), cmd.ErrOrStderr(), args[0], optionsPath)
		},
	}
	check.Flags().StringVar(&optionsPath, "options", "", "operators' options (TOML)")
	return check
}

// checkFiles loads and validates both files; optionsPath may be empty. It writes warnings to errOut and,
// if both files are valid, one line about the settings to out.
func checkFiles(out, errOut io.Writer, settingsPath, optionsPath string) error {
	settings, err := config.Load(settingsPath)
	if err != nil {
		return err
	}
	_, warnings, err := config.LoadOptions(optionsPath)
	if err != nil {
		return err
	}
	if err := printWarnings(errOut, optionsPath, warnings); err != nil {
		return err
	}
	if err := printWarnings(errOut, settingsPath, settings.Warnings()); err != nil {
		return err
	}
	controllers := len(settings.Members) + 1
	_, err = fmt.Fprintf(out, "%s: ok, controller %s of %d\n", settingsPath, settings.NodeName, controllers)
	return err
}

// printWarnings writes the warnings about a file, one per line.
func printWarnings(out io.Writer, path string, warnings []string) error {
	for _, warning := range warnings {
		if _, err := fmt.Fprintf(out, "%s: warning: %s\n", path, warning); err != nil {
			return err
		}
	}
	return nil
}
