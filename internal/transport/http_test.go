package transport

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quillshunt/internal/limits"
)

// parseAll feeds a stream in pieces and returns what comes out.
func parseAll(response bool, pieces [][]byte) ([]Message, error) {
	d := NewRequestDecoder(limits.MaxBodyBytes)
	if response {
		d = NewResponseDecoder(limits.MaxBodyBytes)
	}
	var out []Message
	for _, p := range pieces {
		d.Feed(p)
		for {
			m, err := d.Next()
			if err != nil {
				return out, err
			}
			if m == nil {
				break
			}
			out = append(out, *m)
		}
	}
	if response {
		if m, err := d.EOF(); err == nil {
			out = append(out, *m)
		}
	}
	return out, nil
}

func splitRandomly(t *rapid.T, b []byte) [][]byte {
	var out [][]byte
	for len(b) > 0 {
		n := rapid.IntRange(1, min(len(b), rapid.SampledFrom([]int{1, 2, 3, 7, 64, 5000}).Draw(t, "most"))).Draw(t, "n")
		out = append(out, b[:n])
		b = b[n:]
	}
	return out
}

func sameMessages(a, b []Message) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		x, y := a[i], b[i]
		if x.Method != y.Method || x.Path != y.Path || x.Query != y.Query || x.Status != y.Status ||
			x.Close != y.Close || x.RetryAfter != y.RetryAfter || !bytes.Equal(x.Body, y.Body) {
			return false
		}
	}
	return true
}

func chunkedMessage(t *rapid.T, head string, body []byte) []byte {
	out := []byte(head + "Transfer-Encoding: chunked\r\n\r\n")
	for len(body) > 0 {
		n := rapid.IntRange(1, len(body)).Draw(t, "chunk")
		out = append(out, []byte(rapid.SampledFrom([]string{"%x\r\n", "%X;ext=1\r\n", "0%x\r\n"}).Draw(t, "form"))...)
		i := bytes.IndexByte(out[len(out)-9:], '%') + len(out) - 9
		form := string(out[i:])
		out = out[:i]
		hex := "0123456789abcdef"
		if form[1] == 'X' {
			hex = "0123456789ABCDEF"
		}
		digits := ""
		for k := n; k > 0; k /= 16 {
			digits = string(hex[k%16]) + digits
		}
		out = append(out, digits...)
		out = append(out, form[2:]...)
		out = append(out, body[:n]...)
		out = append(out, "\r\n"...)
		body = body[n:]
	}
	return append(out, "0\r\nTrailer: x\r\n\r\n"...)
}

// TestSplitsParseAlike: any split of the same bytes gives the same messages, whether they are well
// formed or not.
func TestSplitsParseAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		response := rapid.Bool().Draw(t, "response")
		var stream []byte
		for range rapid.IntRange(1, 4).Draw(t, "messages") {
			body := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body")
			switch {
			case rapid.Bool().Draw(t, "chunked"):
				head := "POST /v2/runs HTTP/1.1\r\nHost: a\r\n"
				if response {
					head = "HTTP/1.1 200 OK\r\n"
				}
				stream = append(stream, chunkedMessage(t, head, body)...)
			case response:
				stream = AppendResponse(stream, rapid.SampledFrom([]int{200, 404, 503}).Draw(t, "status"), body, rapid.IntRange(0, 30).Draw(t, "after"), false)
			default:
				stream = AppendRequest(stream, "POST", "/v2/runs/job-1/cancel?x=1", "h:1", body)
			}
		}
		if rapid.Bool().Draw(t, "damage") {
			i := rapid.IntRange(0, len(stream)-1).Draw(t, "where")
			stream[i] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		}
		whole, werr := parseAll(response, [][]byte{append([]byte(nil), stream...)})
		parts, perr := parseAll(response, splitRandomly(t, stream))
		if (werr == nil) != (perr == nil) || !sameMessages(whole, parts) {
			t.Fatalf("whole: %v %v\nparts: %v %v", whole, werr, parts, perr)
		}
	})
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 2000).Draw(t, "body")
		target := "/kv/" + rapid.StringMatching(`[a-z0-9/._-]{1,40}`).Draw(t, "key")
		got, err := parseAll(false, [][]byte{AppendRequest(nil, "POST", target, "h", body)})
		if err != nil || len(got) != 1 || got[0].Method != "POST" || got[0].Path != target || !bytes.Equal(got[0].Body, body) {
			t.Fatalf("request: %v %v", got, err)
		}
		got, err = parseAll(true, [][]byte{AppendResponse(nil, 503, body, 7, true)})
		if err != nil || len(got) != 1 || got[0].Status != 503 || got[0].RetryAfter != 7 || !got[0].Close || !bytes.Equal(got[0].Body, body) {
			t.Fatalf("response: %v %v", got, err)
		}
	})
}

// TestMalformedMessages: what could be read in two ways, or has no end, costs the connection.
func TestMalformedMessages(t *testing.T) {
	long := bytes.Repeat([]byte("x"), limits.MaxHeadBytes+10)
	for name, c := range map[string]struct {
		in   string
		want error
	}{
		"conflicting lengths":  {"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", ErrMalformed},
		"length and chunked":   {"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ErrMalformed},
		"list of lengths":      {"POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\na", ErrMalformed},
		"signed length":        {"POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\na", ErrMalformed},
		"other coding":         {"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", ErrMalformed},
		"chunked in 1.0":       {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ErrMalformed},
		"space before colon":   {"GET / HTTP/1.1\r\nContent-Length : 1\r\n\r\n", ErrMalformed},
		"folded header":        {"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", ErrMalformed},
		"bare newline":         {"GET / HTTP/1.1\nA: b\r\n\r\n", ErrMalformed},
		"nul in value":         {"GET / HTTP/1.1\r\nA: \x00\r\n\r\n", ErrMalformed},
		"version":              {"GET / HTTP/2.0\r\n\r\n", ErrMalformed},
		"absolute target":      {"GET http://a/ HTTP/1.1\r\n\r\n", ErrMalformed},
		"no target":            {"GET HTTP/1.1\r\n\r\n", ErrMalformed},
		"chunk size":           {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", ErrMalformed},
		"chunk end":            {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc", ErrMalformed},
		"huge chunk":           {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n", ErrTooLarge},
		"body over the limit":  {"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", ErrTooLarge},
		"head without end":     {"GET /" + string(long), ErrTooLarge},
		"too many headers":     {"GET / HTTP/1.1\r\n" + string(bytes.Repeat([]byte("A: b\r\n"), limits.MaxHeaders+1)) + "\r\n", ErrTooLarge},
		"trailer without end":  {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + string(long), ErrTooLarge},
		"endless size line":    {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + string(bytes.Repeat([]byte("0"), limits.MaxChunkLine+1)), ErrMalformed},
		"length beyond digits": {"POST / HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n", ErrMalformed},
	} {
		if _, err := parseAll(false, [][]byte{[]byte(c.in)}); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", name, err, c.want)
		}
	}
}

func FuzzDecoder(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n"), uint8(3))
	f.Add([]byte("\r\nGET / HTTP/1.1\r\n\r\n\r\n"), uint8(0))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"), uint8(1))
	f.Fuzz(func(t *testing.T, b []byte, step uint8) {
		for _, response := range []bool{false, true} {
			whole, werr := parseAll(response, [][]byte{append([]byte(nil), b...)})
			var pieces [][]byte
			for rest := b; len(rest) > 0; {
				n := min(int(step%16)+1, len(rest))
				pieces = append(pieces, append([]byte(nil), rest[:n]...))
				rest = rest[n:]
			}
			parts, perr := parseAll(response, pieces)
			if (werr == nil) != (perr == nil) || !sameMessages(whole, parts) {
				t.Fatalf("whole %v %v, parts %v %v", whole, werr, parts, perr)
			}
		}
	})
}

// TestConnectionMemory: a connection that has had its answer holds little, so that all workers can
// be connected within a controller's memory.
func TestConnectionMemory(t *testing.T) {
	const conns = 200
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &Server{Addr: addr, MaxConns: conns + 1, Log: slog.New(slog.DiscardHandler),
		Handle: func(_ *Message, rsp *Responder) { rsp.Respond(200, make([]byte, 2000), 0) }}
	go s.Run(ctx)
	req := AppendRequest(nil, "POST", "/v1/report", addr, make([]byte, 20_000))
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	answer := make([]byte, 8192)
	open := func() net.Conn {
		for {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				time.Sleep(time.Millisecond) // the server has not begun
				continue
			}
			if _, err := c.Write(req); err != nil {
				t.Fatal(err)
			}
			d := NewResponseDecoder(limits.MaxBodyBytes)
			for {
				n, err := c.Read(answer)
				if err != nil {
					t.Fatal(err)
				}
				d.Feed(answer[:n])
				if m, err := d.Next(); err != nil {
					t.Fatal(err)
				} else if m != nil {
					return c
				}
			}
		}
	}
	defer open().Close()
	before := heap()
	for range conns {
		defer open().Close()
	}
	if after := heap(); after > before+conns*limits.ConnBytes {
		t.Errorf("%d bytes of heap for each connection", (after-before)/conns)
	}
}
