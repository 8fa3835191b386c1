package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// client sends users' requests to a controller. Bodies are CBOR on the wire and JSON on the command
// line.
type client struct{ address string }

// addAddressFlag adds the flag for the controller's address to a command.
func (c *client) addAddressFlag(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.address, "addr", "127.0.0.1:8080", "address of a controller")
}

// sendRequest sends a request and writes the answer to out.
func (c *client) sendRequest(ctx context.Context, out io.Writer, method, target string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, 2*limits.SubmitTimeout)
	defer cancel()
	response, err := transport.NewClient(c.address, 1, limits.MaxBodyBytes).Do(ctx, method, target, body)
	if err != nil {
		return err
	}
	return printResponse(out, response)
}

// printResponse writes the body of an answer as JSON. An answer with a status of failure is an error.
func printResponse(out io.Writer, response *transport.Message) error {
	var fields map[string]any
	if len(response.Body) > 0 {
		if err := protocol.Decode(response.Body, &fields); err != nil {
			return fmt.Errorf("answer %d: %w", response.Status, err)
		}
	}
	if response.Status < http.StatusOK || response.Status >= http.StatusMultipleChoices {
		reason, _ := fields["error"].(string)
		if response.RetryAfter > 0 {
			reason += fmt.Sprintf(" (come back in %s)", time.Duration(response.RetryAfter)*time.Second)
		}
		return fmt.Errorf("status %d: %s", response.Status, reason)
	}
	text, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, string(text))
	return err
}
