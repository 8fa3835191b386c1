package main

import (
	"fmt"

	"github.com/spf13/cobra"
)

// version is the version of this release, listed in CHANGELOG.md.
const version = "0.2.0"

// newVersionCommand returns the command that prints the version.
func newVersionCommand() *cobra.Command {
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
