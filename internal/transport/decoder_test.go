package transport

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"quillshunt/internal/limits"
)

// decodeAll feeds a stream to a decoder in pieces, and returns the messages decoded before the stream ends
// or the first error. An incomplete message at the end of the stream is ignored.
func decodeAll(response bool, pieces [][]byte) ([]Message, error) {
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
		if m, err := d.HandleEOF(); err == nil {
			out = append(out, *m)
		}
	}
	return out, nil
}

// splitRandomly splits b into pieces of random sizes.
func splitRandomly(t *rapid.T, b []byte) [][]byte {
	var out [][]byte
	for len(b) > 0 {
		n := rapid.IntRange(1, min(len(b), rapid.SampledFrom([]int{1, 2, 3, 7, 64, 5000}).Draw(t, "most"))).Draw(t, "n")
		out = append(out, b[:n])
		b = b[n:]
	}
	return out
}

// equalMessages reports whether two lists contain equal messages in the same order.
func equalMessages(a, b []Message) bool {
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

// chunkedMessage returns a message with a body in chunks of random sizes, of which some have extensions,
// leading zeros or sizes in upper case, and with a trailer.
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

// TestDecodingIsIndependentOfSplits checks that a stream decodes to the same messages however it is split
// into reads, and that a malformed stream is rejected however it is split.
func TestDecodingIsIndependentOfSplits(t *testing.T) {
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
				status := rapid.SampledFrom([]int{200, 404, 503}).Draw(t, "status")
				stream = AppendResponse(stream, status, body, rapid.IntRange(0, 30).Draw(t, "after"), false)
			default:
				stream = AppendRequest(stream, "POST", "/v2/runs/job-1/cancel?x=1", "h:1", body)
			}
		}
		if rapid.Bool().Draw(t, "damage") {
			i := rapid.IntRange(0, len(stream)-1).Draw(t, "where")
			stream[i] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		}
		whole, wholeErr := decodeAll(response, [][]byte{append([]byte(nil), stream...)})
		parts, partsErr := decodeAll(response, splitRandomly(t, stream))
		if (wholeErr == nil) != (partsErr == nil) || !equalMessages(whole, parts) {
			t.Fatalf("in one piece: %v, error %v\nsplit: %v, error %v", whole, wholeErr, parts, partsErr)
		}
	})
}

// TestEncodeDecodeRoundTrip checks that encoded requests and responses decode to the same messages.
func TestEncodeDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 2000).Draw(t, "body")
		target := "/kv/" + rapid.StringMatching(`[a-z0-9/._-]{1,40}`).Draw(t, "key")
		got, err := decodeAll(false, [][]byte{AppendRequest(nil, "POST", target, "h", body)})
		request := Message{Method: "POST", Path: target, Body: body}
		if err != nil || !equalMessages(got, []Message{request}) {
			t.Fatalf("request: got %v, error %v", got, err)
		}
		got, err = decodeAll(true, [][]byte{AppendResponse(nil, 503, body, 7, true)})
		response := Message{Status: 503, RetryAfter: 7, Close: true, Body: body}
		if err != nil || !equalMessages(got, []Message{response}) {
			t.Fatalf("response: got %v, error %v", got, err)
		}
	})
}

// TestMalformedMessages checks that messages that are ambiguous, malformed or larger than the limits are
// rejected.
func TestMalformedMessages(t *testing.T) {
	const (
		postHead    = "POST / HTTP/1.1\r\n"
		lengthHead  = postHead + "Content-Length: 1\r\n"
		chunkedHead = postHead + "Transfer-Encoding: chunked\r\n\r\n"
	)
	long := strings.Repeat("x", limits.MaxHeadBytes+10)
	tests := map[string]struct {
		input string
		want  error
	}{
		"conflicting lengths":    {lengthHead + "Content-Length: 2\r\n\r\nab", ErrMalformed},
		"length and chunked":     {lengthHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ErrMalformed},
		"list of lengths":        {postHead + "Content-Length: 1, 1\r\n\r\na", ErrMalformed},
		"signed length":          {postHead + "Content-Length: +1\r\n\r\na", ErrMalformed},
		"other coding":           {postHead + "Transfer-Encoding: gzip, chunked\r\n\r\n", ErrMalformed},
		"chunked in 1.0":         {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ErrMalformed},
		"space before colon":     {"GET / HTTP/1.1\r\nContent-Length : 1\r\n\r\n", ErrMalformed},
		"folded header":          {"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", ErrMalformed},
		"bare newline":           {"GET / HTTP/1.1\nA: b\r\n\r\n", ErrMalformed},
		"NUL in value":           {"GET / HTTP/1.1\r\nA: \x00\r\n\r\n", ErrMalformed},
		"unsupported version":    {"GET / HTTP/2.0\r\n\r\n", ErrMalformed},
		"absolute target":        {"GET http://a/ HTTP/1.1\r\n\r\n", ErrMalformed},
		"no target":              {"GET HTTP/1.1\r\n\r\n", ErrMalformed},
		"invalid chunk size":     {chunkedHead + "xyz\r\n", ErrMalformed},
		"chunk without CRLF":     {chunkedHead + "1\r\nabc", ErrMalformed},
		"huge chunk":             {chunkedHead + "fffffff\r\n", ErrTooLarge},
		"body over the limit":    {"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", ErrTooLarge},
		"head without end":       {"GET /" + long, ErrTooLarge},
		"too many headers":       {postHead + strings.Repeat("A: b\r\n", limits.MaxHeaders+1) + "\r\n", ErrTooLarge},
		"trailer without end":    {chunkedHead + "0\r\n" + long, ErrTooLarge},
		"endless chunk size":     {chunkedHead + strings.Repeat("0", limits.MaxChunkLineBytes+1), ErrMalformed},
		"too many length digits": {postHead + "Content-Length: 99999999999\r\n\r\n", ErrMalformed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := decodeAll(false, [][]byte{[]byte(test.input)}); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

// FuzzDecoder checks that any stream decodes to the same messages whether it arrives at once or in pieces
// of up to 16 bytes.
func FuzzDecoder(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"+
		"3\r\nabc\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n"), uint8(3))
	f.Add([]byte("\r\nGET / HTTP/1.1\r\n\r\n\r\n"), uint8(0))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"), uint8(1))
	f.Fuzz(func(t *testing.T, b []byte, step uint8) {
		for _, response := range []bool{false, true} {
			whole, wholeErr := decodeAll(response, [][]byte{append([]byte(nil), b...)})
			var pieces [][]byte
			for rest := b; len(rest) > 0; {
				n := min(int(step%16)+1, len(rest))
				pieces = append(pieces, append([]byte(nil), rest[:n]...))
				rest = rest[n:]
			}
			parts, partsErr := decodeAll(response, pieces)
			if (wholeErr == nil) != (partsErr == nil) || !equalMessages(whole, parts) {
				t.Fatalf("in one piece: %v, error %v; split: %v, error %v", whole, wholeErr, parts, partsErr)
			}
		}
	})
}
