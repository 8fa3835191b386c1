package transport

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// TestDeliveryIsReported guards against taking a response for delivered whose client had closed the connection.
func TestDeliveryIsReported(t *testing.T) {
	deliveries := make(chan Delivery, 1)
	respond := make(chan struct{})
	server := startServer(t, ServerOptions{MaxConns: 10, Handle: func(req *Message, rsp *Responder) {
		if req.Path == "/slow" {
			rsp.OnDelivery(func(d Delivery) { deliveries <- d })
			go func() {
				<-respond
				rsp.Respond(http.StatusOK, nil, 0)
			}()
			return
		}
		rsp.OnDelivery(func(d Delivery) { deliveries <- d })
		rsp.Respond(http.StatusOK, nil, 0)
	}})
	for _, c := range []struct {
		path    string
		written bool
	}{{"/fast", true}, {"/slow", false}} {
		conn, err := net.Dial("tcp", server.Addr())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write(AppendRequest(nil, http.MethodGet, c.path, "x", nil)); err != nil {
			t.Fatal(err)
		}
		if !c.written {
			time.Sleep(50 * time.Millisecond) // the request is in progress
			conn.Close()
		}
		select {
		case d := <-deliveries:
			if d.Written != c.written {
				t.Errorf("%s: written %v, want %v", c.path, d.Written, c.written)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("%s: no delivery is reported", c.path)
		}
		conn.Close()
	}
	close(respond)
	activity := server.TakeActivity()
	if activity.Refused != 0 {
		t.Errorf("%d connections were refused, want none", activity.Refused)
	}
}
