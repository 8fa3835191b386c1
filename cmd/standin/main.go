// Command standin plays the services that quillshunt depends on, on the loopback, so that it can be
// tried without any of them: a state service and a cloud whose machines only wait. It writes the
// settings files of three controllers.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
)

func main() {
	var dir string
	var port int
	cmd := &cobra.Command{
		Use:           "standin",
		Short:         "Play a state service and a cloud, and write settings for three controllers",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd.Context(), dir, port)
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "target/try", "folder for the settings files")
	cmd.Flags().IntVar(&port, "port", 7400, "first of the ports used on the loopback")
	if err := cmd.ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, dir string, port int) error {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	addr := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", port+n) }
	controllers := map[string]string{}
	for i := range 3 {
		controllers[fmt.Sprintf("rig-%d", i)] = addr(10 + i)
	}
	if err := writeSettings(dir, addr); err != nil {
		return err
	}
	state := standin.NewStateService()
	cloud := &standin.Cloud{State: state, Controllers: controllers, Log: log, Types: []protocol.MachineType{{
		Name: "c4", CPUs: 4, MemoryGB: 16, CacheGB: 50, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 2, Zones: []string{"a"}}}}
	cloud.Start(ctx)
	failed := make(chan error, 2)
	go func() { failed <- state.Server(addr(0), log).Run(ctx) }()
	go func() { failed <- cloud.Server(addr(1)).Run(ctx) }()
	fmt.Printf("state service on %s, cloud on %s, settings in %s\n", addr(0), addr(1), dir)
	return <-failed
}

func writeSettings(dir string, addr func(int) string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	type object = map[string]any
	for i := range 3 {
		var members []object
		for k := range 3 {
			if k != i {
				members = append(members, object{"node_name": fmt.Sprintf("rig-%d", k), "zone": "a", "address": addr(20 + k)})
			}
		}
		b, err := json.MarshalIndent(object{
			"node_name": fmt.Sprintf("rig-%d", i), "zone": "a", "client_listen": addr(10 + i), "peer_bind": addr(20 + i),
			"members": members, "external": object{"cloud": addr(1), "state": addr(0)},
			"facts": object{
				"initial_size": 3, "zones": []string{"a"},
				"teams":          []object{{"name": "demo", "cpus": 16, "cpus_max": 64, "gpus": 0, "gpus_max": 0}},
				"objectives":     []object{},
				"workers":        object{"report_s": 1, "lease_s": 10, "gang_wait_s": 40, "gang_peer_s": 6, "cancel_s": 30},
				"state":          object{"rps": 200, "write_rps": 50, "value_kb": 4, "txn_ops": 8},
				"cloud":          object{"rps": 5, "list_lag_s": 1},
				"machine_limits": object{"core_share": 0.5, "memory_mb": 128, "max_sockets": 500},
				"skew_ms":        100,
			},
		}, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("rig-%d.json", i)), b, 0o644); err != nil {
			return err
		}
	}
	return nil
}
