// Command standin runs fakes of the services that quillshunt depends on, so that quillshunt can be tried
// without the real ones: a state service, and a cloud whose machines only wait for the estimated run time
// of a task instead of executing it. Both listen on the loopback interface. The command also writes the
// settings files of the controllers.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
)

// machineTypes are the machine types that the fake cloud offers.
var machineTypes = []protocol.MachineType{{
	Name: "c4", CPUs: 4, MemoryGB: 16, CacheGB: 50, FetchGBPerS: 1,
	Price: 1, SpotPrice: 0.4, BootS: 2, Zones: []string{zone},
}}

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var directory string
	var port int
	cmd := &cobra.Command{
		Use:           "standin",
		Short:         "Play a state service and a cloud, and write settings for three controllers",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd.Context(), directory, addresses{firstPort: port})
		},
	}
	cmd.Flags().StringVar(&directory, "dir", "target/demo", "folder for the settings files")
	cmd.Flags().IntVar(&port, "port", 7400, "first of the ports used on the loopback")
	return cmd
}

// run writes the settings files, and runs the servers until one of them fails or the context is
// cancelled.
func run(ctx context.Context, directory string, addrs addresses) error {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := writeSettings(directory, addrs); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	controllers := map[string]string{}
	for i := range controllerCount {
		controllers[nodeName(i)] = addrs.clientAddr(i)
	}
	state := standin.NewStateService()
	group, ctx := errgroup.WithContext(ctx)
	cloud := standin.NewCloud(ctx, standin.CloudOptions{
		MachineTypes: machineTypes, State: state, Controllers: controllers, Log: log,
	})
	group.Go(func() error { return state.Server(addrs.stateAddr(), log).Run(ctx) })
	group.Go(func() error { return cloud.Server(addrs.cloudAddr()).Run(ctx) })
	fmt.Printf("state service on %s, cloud on %s, settings in %s\n", addrs.stateAddr(), addrs.cloudAddr(), directory)
	return group.Wait()
}
