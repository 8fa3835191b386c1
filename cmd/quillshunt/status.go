package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"quillshunt/internal/coordination/peer"
	"quillshunt/internal/coordination/peer/peerpb"
	"quillshunt/internal/limits"
)

// newStatus shows what the service thinks, through the operators' interface between controllers.
func newStatus() *cobra.Command {
	var addr string
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
			r, err := peer.RequestStatus(ctx, addr, job)
			if err != nil {
				return err
			}
			return printStatus(cmd.OutOrStdout(), r, job)
		},
	}
	cmd.Flags().StringVar(&addr, "peer", "127.0.0.1:8081", "address of any controller for other controllers (peer_bind)")
	return cmd
}

func printStatus(out io.Writer, r *peerpb.StatusReply, job string) error {
	switch {
	case r.GetLeader() == "":
		return fmt.Errorf("no leader is known")
	case r.GetTerm() == 0:
		return fmt.Errorf("leader %s does not answer", r.GetLeader())
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "leader\t%s\nterm\t%d\nentitled\t%v\nrebuilt\t%v\n", r.GetLeader(), r.GetTerm(), r.GetEntitled(), r.GetRecovered())
	if job != "" {
		fmt.Fprintf(w, "\n%s\n", job)
		for _, why := range r.GetExplanation() {
			fmt.Fprintf(w, "  %s\n", why)
		}
		return w.Flush()
	}
	fmt.Fprintln(w, "\nteam\tcpus\tguaranteed\tmost\tjobs\ttasks on machines\twaiting")
	for _, t := range r.GetTeams() {
		fmt.Fprintf(w, "%s\t%.6g\t%.6g\t%.6g\t%d\t%d\t%d\n", t.GetName(), t.GetUsedCpus(), t.GetGuaranteedCpus(), t.GetMaxCpus(), t.GetJobs(), t.GetAssignedTasks(), t.GetWaitingTasks())
	}
	fmt.Fprintln(w, "\nmachine\ttype\tzone\tkind\tcpus\tused\ttasks\tstate")
	for _, m := range r.GetMachines() {
		kind := "ordinary"
		if m.GetSpot() {
			kind = "spot"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.6g\t%.6g\t%d\t%s\n", m.GetName(), m.GetType(), m.GetZone(), kind, m.GetCpus(), m.GetUsedCpus(), m.GetTasks(), m.GetState())
	}
	return w.Flush()
}
