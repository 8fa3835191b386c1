package main

import (
	"fmt"
	"net/http"

	"github.com/spf13/cobra"

	"quillshunt/internal/protocol"
)

// jobsPath is the HTTP path of jobs, which the user API calls runs.
const jobsPath = "/v2/runs"

// newSubmitCommand returns the command that submits a job.
func newSubmitCommand() *cobra.Command {
	var c client
	cmd := &cobra.Command{
		Use:   "submit FILE",
		Short: "Submit a run described in JSON (- for standard input)",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			job, err := readJob(cmd.InOrStdin(), args[0])
			if err != nil {
				return err
			}
			return c.sendRequest(cmd.Context(), cmd.OutOrStdout(), http.MethodPost, jobsPath, protocol.Encode(job))
		},
	}
	c.addAddressFlag(cmd)
	return cmd
}

// newShowCommand returns the command that prints the state of a job.
func newShowCommand() *cobra.Command {
	return newJobRequestCommand("show ID", "Show the state of a run", http.MethodGet, "")
}

// newCancelCommand returns the command that cancels a job.
func newCancelCommand() *cobra.Command {
	return newJobRequestCommand("cancel ID", "Cancel a run", http.MethodPost, "/cancel")
}

// newJobRequestCommand returns a command that sends a request about one job, whose ID is the argument. The
// suffix is the part of the path after the ID.
func newJobRequestCommand(use, short, method, suffix string) *cobra.Command {
	var c client
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			id := args[0]
			if !protocol.IsValidJobID(id) {
				return fmt.Errorf("%q is not a run ID; run IDs have the form job-000412", id)
			}
			return c.sendRequest(cmd.Context(), cmd.OutOrStdout(), method, jobsPath+"/"+id+suffix, nil)
		},
	}
	c.addAddressFlag(cmd)
	return cmd
}
