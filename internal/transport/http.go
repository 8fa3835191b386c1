// Package transport moves bytes: the project's own HTTP/1.1 codec, the gnet
// server for what comes in and a pooled client for what goes out. It knows
// nothing of what the messages mean.
package transport

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"quillshunt/internal/limits"
)

// Errors of the codec. Each costs the connection it came on and nothing else.
var (
	ErrMalformed = errors.New("http: malformed message")
	ErrTooLarge  = errors.New("http: message too large")
)

// Message is one request or response.
type Message struct {
	Method string // requests
	Path   string // requests: the target without its query
	Query  string // requests
	Status int    // responses
	Body   []byte
	Close  bool // the sender will close, or we must
	// RetryAfter is the header of that name in seconds, or 0.
	RetryAfter int
}

type phase uint8

const (
	phaseHead phase = iota
	phaseLength
	phaseChunkSize
	phaseChunkData
	phaseChunkEnd
	phaseTrailer
	phaseUntilClose
)

// Decoder reads messages from a byte stream in pieces of any size.
type Decoder struct {
	response           bool
	maxBody            int
	buffer             []byte
	leadingLineSkipped bool // the line before a request was dealt with
	scanned            int  // bytes of buf already searched for the end of the head
	phase              phase
	message            *Message
	remaining          int // bytes still to come in this body or chunk
	trailerBytes       int
	err                error
}

// NewRequestDecoder reads requests.
func NewRequestDecoder(maxBody int) *Decoder { return &Decoder{maxBody: maxBody} }

// NewResponseDecoder reads responses.
func NewResponseDecoder(maxBody int) *Decoder { return &Decoder{response: true, maxBody: maxBody} }

// Feed adds bytes from the stream.
func (d *Decoder) Feed(p []byte) { d.buffer = append(d.buffer, p...) }

// Buffered is how many bytes wait to be parsed.
func (d *Decoder) Buffered() int { return len(d.buffer) }

// Started reports whether part of a message has arrived.
func (d *Decoder) Started() bool { return len(d.buffer) > 0 || d.phase != phaseHead }

// Next returns the next whole message, or nil if more bytes are needed. After
// an error the stream is of no further use.
func (d *Decoder) Next() (*Message, error) {
	if d.err != nil {
		return nil, d.err
	}
	m, err := d.next()
	if err != nil {
		d.err = err
		d.buffer = nil
		return nil, err
	}
	if m != nil && len(d.buffer) == 0 {
		d.buffer = nil // do not keep a large buffer for an idle connection
	}
	return m, nil
}

// EOF tells the decoder that the stream is over. It returns a response whose
// body ends with the stream, if that is what was being read.
func (d *Decoder) EOF() (*Message, error) {
	if d.err != nil {
		return nil, d.err
	}
	if d.phase == phaseUntilClose {
		m := d.message
		m.Close = true
		m.Body = append(m.Body, d.buffer...)
		if len(m.Body) > d.maxBody {
			return nil, ErrTooLarge
		}
		d.reset()
		return m, nil
	}
	return nil, ErrMalformed
}

func (d *Decoder) reset() {
	d.phase, d.message, d.remaining, d.scanned, d.trailerBytes, d.leadingLineSkipped = phaseHead, nil, 0, 0, 0, false
}

func (d *Decoder) finish() *Message {
	m := d.message
	d.reset()
	return m
}

// next goes from phase to phase until a message is whole or more bytes are needed.
func (d *Decoder) next() (*Message, error) {
	for {
		m, more, err := d.step()
		if m != nil || err != nil || !more {
			return m, err
		}
	}
}

// step reads what the present phase needs. It returns a message once that is whole; else more tells
// whether the next phase can go on with what is there.
func (d *Decoder) step() (m *Message, more bool, err error) {
	switch d.phase {
	case phaseHead:
		return d.readHead()
	case phaseLength:
		return d.readLength()
	case phaseChunkSize:
		return d.readChunkSize()
	case phaseChunkData:
		return d.readChunkData()
	case phaseChunkEnd:
		return d.readChunkEnd()
	case phaseTrailer:
		return d.readTrailer()
	default:
		return d.readUntilClose()
	}
}

func (d *Decoder) readHead() (m *Message, more bool, err error) {
	// One empty line before a request is tolerated, as the standard asks. It is decided before
	// anything else is looked at, so that it does not matter in which pieces it comes.
	if !d.response && !d.leadingLineSkipped {
		if len(d.buffer) == 0 || (len(d.buffer) == 1 && d.buffer[0] == '\r') {
			return nil, false, nil
		}
		d.buffer = bytes.TrimPrefix(d.buffer, []byte("\r\n"))
		d.leadingLineSkipped = true
	}
	from := max(0, d.scanned-3)
	i := bytes.Index(d.buffer[from:], []byte("\r\n\r\n"))
	if i < 0 {
		d.scanned = len(d.buffer)
		if len(d.buffer) > limits.MaxHeadBytes {
			return nil, false, ErrTooLarge
		}
		return nil, false, nil
	}
	end := from + i
	if end > limits.MaxHeadBytes {
		return nil, false, ErrTooLarge
	}
	if err := d.parseHead(d.buffer[:end]); err != nil {
		return nil, false, err
	}
	d.buffer = d.buffer[end+4:]
	d.scanned = 0
	if d.phase == phaseHead { // no body
		return d.finish(), false, nil
	}
	return nil, true, nil
}

func (d *Decoder) readLength() (m *Message, more bool, err error) {
	if len(d.buffer) < d.remaining {
		return nil, false, nil
	}
	d.message.Body = append([]byte(nil), d.buffer[:d.remaining]...)
	d.buffer = d.buffer[d.remaining:]
	return d.finish(), false, nil
}

func (d *Decoder) readChunkSize() (m *Message, more bool, err error) {
	i := bytes.Index(d.buffer, []byte("\r\n"))
	if i > limits.MaxChunkLine || (i < 0 && len(d.buffer) > limits.MaxChunkLine) {
		return nil, false, ErrMalformed
	}
	if i < 0 {
		return nil, false, nil
	}
	n, err := parseChunkSize(d.buffer[:i])
	if err != nil {
		return nil, false, err
	}
	d.buffer = d.buffer[i+2:]
	if n == 0 {
		d.phase = phaseTrailer
		return nil, true, nil
	}
	if n > d.maxBody || len(d.message.Body)+n > d.maxBody {
		return nil, false, ErrTooLarge
	}
	d.remaining, d.phase = n, phaseChunkData
	return nil, true, nil
}

func (d *Decoder) readChunkData() (m *Message, more bool, err error) {
	if len(d.buffer) == 0 {
		return nil, false, nil
	}
	n := min(d.remaining, len(d.buffer))
	d.message.Body = append(d.message.Body, d.buffer[:n]...)
	d.buffer = d.buffer[n:]
	if d.remaining -= n; d.remaining == 0 {
		d.phase = phaseChunkEnd
	}
	return nil, true, nil
}

func (d *Decoder) readChunkEnd() (m *Message, more bool, err error) {
	if len(d.buffer) < 2 {
		return nil, false, nil
	}
	if d.buffer[0] != '\r' || d.buffer[1] != '\n' {
		return nil, false, ErrMalformed
	}
	d.buffer = d.buffer[2:]
	d.phase = phaseChunkSize
	return nil, true, nil
}

func (d *Decoder) readTrailer() (m *Message, more bool, err error) {
	i := bytes.Index(d.buffer, []byte("\r\n"))
	if i < 0 {
		if len(d.buffer) > limits.MaxHeadBytes {
			return nil, false, ErrTooLarge
		}
		return nil, false, nil
	}
	if d.trailerBytes += i; d.trailerBytes > limits.MaxHeadBytes {
		return nil, false, ErrTooLarge
	}
	d.buffer = d.buffer[i+2:]
	if i == 0 {
		return d.finish(), false, nil
	}
	return nil, true, nil
}

func (d *Decoder) readUntilClose() (m *Message, more bool, err error) {
	if len(d.message.Body)+len(d.buffer) > d.maxBody {
		return nil, false, ErrTooLarge
	}
	d.message.Body = append(d.message.Body, d.buffer...)
	d.buffer = nil
	return nil, false, nil
}

func parseChunkSize(line []byte) (int, error) {
	if i := bytes.IndexByte(line, ';'); i >= 0 {
		line = bytes.TrimRight(line[:i], " \t")
	}
	if len(line) == 0 || len(line) > 8 {
		return 0, ErrMalformed
	}
	n := 0
	for _, c := range line {
		switch {
		case c >= '0' && c <= '9':
			n = n<<4 | int(c-'0')
		case c >= 'a' && c <= 'f':
			n = n<<4 | int(c-'a'+10)
		case c >= 'A' && c <= 'F':
			n = n<<4 | int(c-'A'+10)
		default:
			return 0, ErrMalformed
		}
	}
	return n, nil
}

// parseHead parses the start line and headers, and sets the phase for the body.
func (d *Decoder) parseHead(b []byte) error {
	line, rest, _ := bytes.Cut(b, []byte("\r\n"))
	m := &Message{}
	var minor byte
	var err error
	if d.response {
		minor, err = parseStatusLine(line, m)
	} else {
		minor, err = parseRequestLine(line, m)
	}
	if err != nil {
		return err
	}
	m.Close = minor == '0'
	length, chunked, count := -1, false, 0
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		if count++; count > limits.MaxHeaders {
			return ErrTooLarge
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) || !isFieldValue(value) {
			return ErrMalformed // also folded lines and a space before the colon
		}
		v := strings.Trim(string(value), " \t")
		switch {
		case equalFold(name, "content-length"):
			n, err := parseContentLength(v)
			if err != nil {
				return err
			}
			if length >= 0 && length != n {
				return fmt.Errorf("%w: conflicting lengths", ErrMalformed)
			}
			length = n
		case equalFold(name, "transfer-encoding"):
			if chunked || !strings.EqualFold(v, "chunked") {
				return fmt.Errorf("%w: transfer coding", ErrMalformed)
			}
			chunked = true
		case equalFold(name, "connection"):
			for opt := range strings.SplitSeq(v, ",") {
				switch opt = strings.TrimSpace(opt); {
				case strings.EqualFold(opt, "close"):
					m.Close = true
				case strings.EqualFold(opt, "keep-alive") && minor == '0':
					m.Close = false
				}
			}
		case equalFold(name, "retry-after"):
			if n, err := strconv.Atoi(v); err == nil && n > 0 {
				m.RetryAfter = n
			}
		}
	}
	if chunked && (length >= 0 || minor == '0') {
		// Two ways to tell the length are how requests are smuggled.
		return fmt.Errorf("%w: both a length and a transfer coding", ErrMalformed)
	}
	if length > d.maxBody {
		return ErrTooLarge
	}
	d.message = m
	switch {
	case d.response && (m.Status/100 == 1 || m.Status == 204 || m.Status == 304):
		if m.Status/100 == 1 {
			return fmt.Errorf("%w: interim response", ErrMalformed)
		}
	case chunked:
		d.phase = phaseChunkSize
	case length > 0:
		d.phase, d.remaining = phaseLength, length
	case length < 0 && d.response:
		d.phase = phaseUntilClose
	}
	return nil
}

func parseRequestLine(line []byte, m *Message) (byte, error) {
	method, rest, ok := bytes.Cut(line, []byte(" "))
	if !ok || !isToken(method) || len(method) > 16 {
		return 0, ErrMalformed
	}
	target, version, ok := bytes.Cut(rest, []byte(" "))
	if !ok || len(target) == 0 || target[0] != '/' {
		return 0, ErrMalformed
	}
	for _, c := range target {
		if c <= ' ' || c >= 0x7f {
			return 0, ErrMalformed
		}
	}
	minor, err := parseVersion(version)
	if err != nil {
		return 0, err
	}
	m.Method = string(method)
	m.Path, m.Query, _ = strings.Cut(string(target), "?")
	return minor, nil
}

func parseStatusLine(line []byte, m *Message) (byte, error) {
	version, rest, ok := bytes.Cut(line, []byte(" "))
	if !ok || len(rest) < 3 || (len(rest) > 3 && rest[3] != ' ') {
		return 0, ErrMalformed
	}
	minor, err := parseVersion(version)
	if err != nil {
		return 0, err
	}
	for _, c := range rest[:3] {
		if c < '0' || c > '9' {
			return 0, ErrMalformed
		}
		m.Status = m.Status*10 + int(c-'0')
	}
	if m.Status < 100 {
		return 0, ErrMalformed
	}
	return minor, nil
}

func parseVersion(v []byte) (byte, error) {
	if len(v) != 8 || string(v[:7]) != "HTTP/1." || (v[7] != '0' && v[7] != '1') {
		return 0, fmt.Errorf("%w: version", ErrMalformed)
	}
	return v[7], nil
}

func parseContentLength(v string) (int, error) {
	if v == "" || len(v) > 10 {
		return 0, ErrMalformed
	}
	n := 0
	for i := range len(v) {
		if v[i] < '0' || v[i] > '9' {
			return 0, ErrMalformed
		}
		n = n*10 + int(v[i]-'0')
	}
	return n, nil
}

func isToken(b []byte) bool {
	if len(b) == 0 {
		return false
	}
	for _, c := range b {
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return true
}

func isFieldValue(b []byte) bool {
	for _, c := range b {
		if (c < ' ' && c != '\t') || c == 0x7f {
			return false
		}
	}
	return true
}

func equalFold(b []byte, lower string) bool {
	return len(b) == len(lower) && strings.EqualFold(string(b), lower)
}

var reasonPhrases = map[int]string{
	200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	409: "Conflict", 421: "Misdirected Request", 422: "Unprocessable Content",
	429: "Too Many Requests", 500: "Internal Server Error", 503: "Service Unavailable",
}

// AppendRequest writes a request.
func AppendRequest(dst []byte, method, target, host string, body []byte) []byte {
	dst = append(dst, method...)
	dst = append(dst, ' ')
	dst = append(dst, target...)
	dst = append(dst, " HTTP/1.1\r\nHost: "...)
	dst = append(dst, host...)
	if body != nil || method != "GET" {
		if len(body) > 0 {
			dst = append(dst, "\r\nContent-Type: application/cbor"...)
		}
		dst = append(dst, "\r\nContent-Length: "...)
		dst = strconv.AppendInt(dst, int64(len(body)), 10)
	}
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}

// AppendResponse writes a response. A retryAfter above 0 becomes a Retry-After header.
func AppendResponse(dst []byte, status int, body []byte, retryAfter int, closing bool) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reasonPhrases[status]...)
	if len(body) > 0 {
		dst = append(dst, "\r\nContent-Type: application/cbor"...)
	}
	dst = append(dst, "\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	if retryAfter > 0 {
		dst = append(dst, "\r\nRetry-After: "...)
		dst = strconv.AppendInt(dst, int64(retryAfter), 10)
	}
	if closing {
		dst = append(dst, "\r\nConnection: close"...)
	}
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}
