package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// newClient returns the users' commands. Bodies are CBOR on the wire and JSON on the command line.
func newClient() []*cobra.Command {
	var addr string
	call := func(cmd *cobra.Command, method, target string, body []byte) error {
		ctx, cancel := context.WithTimeout(cmd.Context(), 2*limits.SubmitTimeout)
		defer cancel()
		m, err := transport.NewClient(addr, 1, limits.MaxBodyBytes).Do(ctx, method, target, body)
		if err != nil {
			return err
		}
		return printAnswer(cmd.OutOrStdout(), m)
	}
	submit := &cobra.Command{
		Use:   "submit FILE",
		Short: "Submit a run described in JSON (- for standard input)",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			b, err := readInput(cmd.InOrStdin(), args[0])
			if err != nil {
				return err
			}
			var run map[string]any
			dec := json.NewDecoder(b)
			dec.UseNumber()
			if err := dec.Decode(&run); err != nil {
				return fmt.Errorf("%s: not a JSON object: %w", args[0], err)
			}
			numbers(run)
			return call(cmd, "POST", "/v2/runs", protocol.Encode(run))
		},
	}
	show := &cobra.Command{
		Use:   "show ID",
		Short: "Show the state of a run",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return call(cmd, "GET", "/v2/runs/"+args[0], nil)
		},
	}
	cancel := &cobra.Command{
		Use:   "cancel ID",
		Short: "Cancel a run",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return call(cmd, "POST", "/v2/runs/"+args[0]+"/cancel", nil)
		},
	}
	cmds := []*cobra.Command{submit, show, cancel}
	for _, c := range cmds {
		c.Flags().StringVar(&addr, "addr", "127.0.0.1:8080", "address of a controller")
		if c != submit {
			run := c.RunE
			c.RunE = func(cmd *cobra.Command, args []string) error {
				if !protocol.ValidJobID(args[0]) {
					return fmt.Errorf("%q is not the id of a run, like job-000412", args[0])
				}
				return run(cmd, args)
			}
		}
	}
	return cmds
}

func readInput(stdin io.Reader, path string) (io.Reader, error) {
	if path == "-" {
		return stdin, nil
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// numbers turns JSON numbers into whole numbers where they are whole, else into floats.
func numbers(m map[string]any) {
	for k, v := range m {
		n, ok := v.(json.Number)
		if !ok {
			continue
		}
		if i, err := n.Int64(); err == nil {
			m[k] = i
		} else if f, err := n.Float64(); err == nil {
			m[k] = f
		}
	}
}

func printAnswer(w io.Writer, m *transport.Message) error {
	var v map[string]any
	if len(m.Body) > 0 {
		if err := protocol.Decode(m.Body, &v); err != nil {
			return fmt.Errorf("answer %d: %w", m.Status, err)
		}
	}
	if m.Status/100 != 2 {
		why, _ := v["error"].(string)
		if m.RetryAfter > 0 {
			why += fmt.Sprintf(" (come back in %s)", time.Duration(m.RetryAfter)*time.Second)
		}
		return fmt.Errorf("status %d: %s", m.Status, why)
	}
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(w, string(b))
	return err
}
