package transport

import (
	"net/http"
	"testing"

	"quillshunt/internal/limits"
)

// BenchmarkRequest measures a request and its response on an open connection, with a body of the size of a
// heartbeat of a machine with 20 tasks.
func BenchmarkRequest(b *testing.B) {
	const heartbeatBytes = 1500
	server := startServer(b, ServerOptions{
		MaxConns: 10, MaxMachineConns: 5,
		Handle: func(_ *Message, responder *Responder) {
			responder.ClaimMachineSlot()
			responder.Respond(http.StatusOK, make([]byte, 100), 0)
		},
	})
	client := NewClient(server.Addr(), 1, limits.MaxBodyBytes)
	body := make([]byte, heartbeatBytes)
	for b.Loop() {
		if _, err := client.Do(b.Context(), http.MethodPost, "/v1/report", body); err != nil {
			b.Fatal(err)
		}
	}
}
