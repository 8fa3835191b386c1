package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"quillshunt/internal/coordination/peer"
	"quillshunt/internal/coordination/peer/peerpb"
	"quillshunt/internal/limits"
)

// errNoLeader means that the controller that received the status request knows no leader.
var errNoLeader = errors.New("no leader is known")

// newStatusCommand returns the command that prints the state of the leader. It requests the state by gRPC
// from any controller, at the address that also serves the other controllers.
func newStatusCommand() *cobra.Command {
	var address string
	cmd := &cobra.Command{
		Use:   "status [ID]",
		Short: "Show leader, teams and machines, and why a run waits",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			job := ""
			if len(args) == 1 {
				job = args[0]
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), limits.SubmitTimeout)
			defer cancel()
			status, err := peer.RequestStatus(ctx, address, job)
			if err != nil {
				return err
			}
			return printStatus(cmd.OutOrStdout(), status, job)
		},
	}
	cmd.Flags().StringVar(&address, "peer", "127.0.0.1:8081",
		"address of any controller for other controllers (peer_bind)")
	return cmd
}

// printStatus writes the state of the leader, followed by the reasons why the given job waits or, if job
// is empty, by tables of all teams and machines.
func printStatus(out io.Writer, status *peerpb.StatusReply, job string) error {
	switch {
	case status.GetLeader() == "":
		return errNoLeader
	case status.GetTerm() == 0:
		return fmt.Errorf("leader %s does not answer", status.GetLeader())
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "leader\t%s\nterm\t%d\n", status.GetLeader(), status.GetTerm())
	fmt.Fprintf(w, "entitled\t%v\nrebuilt\t%v\n", status.GetEntitled(), status.GetRecovered())
	if stall := status.GetClientStallS(); stall > 0 {
		fmt.Fprintf(w, "no client answered for\t%.0f s\n", stall)
	}
	if job != "" {
		printExplanation(w, job, status.GetExplanation())
	} else {
		printTeams(w, status.GetTeams())
		printMachines(w, status.GetMachines())
	}
	return w.Flush()
}

// printExplanation writes the reasons why a job waits, one per line.
func printExplanation(w io.Writer, job string, reasons []string) {
	fmt.Fprintf(w, "\n%s\n", job)
	for _, reason := range reasons {
		fmt.Fprintf(w, "  %s\n", reason)
	}
}

// printTeams writes a table of teams with their quotas and usage.
func printTeams(w io.Writer, teams []*peerpb.Team) {
	fmt.Fprintln(w, "\nteam\tcpus\tguaranteed\tmost\tjobs\ttasks on machines\twaiting")
	for _, t := range teams {
		fmt.Fprintf(w, "%s\t%.6g\t%.6g\t%.6g\t%d\t%d\t%d\n",
			t.GetName(), t.GetUsedCpus(), t.GetGuaranteedCpus(), t.GetMaxCpus(),
			t.GetJobs(), t.GetAssignedTasks(), t.GetWaitingTasks())
	}
}

// printMachines writes a table of machines with their usage and state.
func printMachines(w io.Writer, machines []*peerpb.Machine) {
	fmt.Fprintln(w, "\nmachine\ttype\tzone\tkind\tcpus\tused\ttasks\tstate")
	for _, m := range machines {
		kind := "ordinary"
		if m.GetSpot() {
			kind = "spot"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.6g\t%.6g\t%d\t%s\n",
			m.GetName(), m.GetType(), m.GetZone(), kind,
			m.GetCpus(), m.GetUsedCpus(), m.GetTasks(), m.GetState())
	}
}
