package metrics

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// path is the HTTP path of the metrics, in the text format of Prometheus.
const path = "/metrics"

// readHeaderTimeout is how long a client may take to send the head of its request.
const readHeaderTimeout = 5 * time.Second

// Handler returns the HTTP handler that serves the metrics.
func (m *Metrics) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(path, promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	return mux
}

// Run serves the metrics over HTTP on a TCP address until the context ends. It returns an error if it
// cannot listen on the address or if the listener fails.
func (m *Metrics) Run(ctx context.Context, addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for requests of metrics: %w", err)
	}
	server := &http.Server{Handler: m.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve metrics: %w", err)
	}
	return nil
}
