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

// client sends user requests to a controller. It encodes request bodies as CBOR and prints response
// bodies as JSON.
type client struct{ address string }

// addAddressFlag defines the flag --addr, the address of the controller, on a command.
func (c *client) addAddressFlag(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.address, "addr", "127.0.0.1:8080", "address of a controller")
}

// sendRequest sends a request and writes the response body to out. See printResponse for the errors.
func (c *client) sendRequest(ctx context.Context, out io.Writer, method, target string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, 2*limits.SubmitTimeout)
	defer cancel()
	response, err := transport.NewClient(c.address, 1, limits.MaxBodyBytes).Do(ctx, method, target, body)
	if err != nil {
		return err
	}
	return printResponse(out, response)
}

// printResponse writes the body of a response as one line of JSON. If the status is not 2xx it writes
// nothing and returns an error with the status, the reason given by the controller and, if the
// controller sent one, the time after which to retry.
func printResponse(out io.Writer, response *transport.Message) error {
	var fields map[string]any
	if len(response.Body) > 0 {
		if err := protocol.Decode(response.Body, &fields); err != nil {
			return fmt.Errorf("decode response with status %d: %w", response.Status, err)
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
