package transport

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"quillshunt/internal/limits"
)

// head is the parsed content of a start line and its headers.
type head struct {
	message       *Message
	minorVersion  byte // minor version of HTTP/1, '0' or '1'
	contentLength int  // in bytes; -1: no Content-Length header
	chunked       bool // the body is sent in chunks
}

// parseHead parses the start line and the headers, and sets the phase that decodes the body.
func (d *Decoder) parseHead(b []byte) error {
	line, rest, _ := bytes.Cut(b, []byte("\r\n"))
	h := head{message: &Message{}, contentLength: -1}
	var err error
	if d.decodesResponses {
		h.minorVersion, err = parseStatusLine(line, h.message)
	} else {
		h.minorVersion, err = parseRequestLine(line, h.message)
	}
	if err != nil {
		return err
	}
	h.message.Close = h.minorVersion == '0'
	if err := h.parseHeaders(rest); err != nil {
		return err
	}
	if h.chunked && (h.contentLength >= 0 || h.minorVersion == '0') {
		// Servers and proxies may disagree on the end of a message with two lengths, which allows request
		// smuggling. HTTP/1.0 has no transfer codings.
		return fmt.Errorf("%w: Transfer-Encoding with a Content-Length or in HTTP/1.0", ErrMalformed)
	}
	if h.contentLength > d.maxBody {
		return ErrTooLarge
	}
	d.message = h.message
	return d.beginBody(&h)
}

// beginBody sets the phase that decodes the body. If there is no body, the phase stays phaseHead.
func (d *Decoder) beginBody(h *head) error {
	status := h.message.Status
	switch {
	case d.decodesResponses && status/100 == 1:
		return fmt.Errorf("%w: interim response with a 1xx status", ErrMalformed)
	case d.decodesResponses && (status == http.StatusNoContent || status == http.StatusNotModified):
	case h.chunked:
		d.phase = phaseChunkSize
	case h.contentLength > 0:
		d.phase, d.remaining = phaseFixedBody, h.contentLength
	case h.contentLength < 0 && d.decodesResponses:
		d.phase = phaseUntilClose
	}
	return nil
}

// parseHeaders parses the header lines.
func (h *head) parseHeaders(lines []byte) error {
	var line []byte
	for count := 1; len(lines) > 0; count++ {
		line, lines, _ = bytes.Cut(lines, []byte("\r\n"))
		if count > limits.MaxHeaders {
			return ErrTooLarge
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) || !isFieldValue(value) {
			return ErrMalformed // this includes folded lines and a space before the colon
		}
		if err := h.setHeader(name, strings.Trim(string(value), " \t")); err != nil {
			return err
		}
	}
	return nil
}

// setHeader stores the value of a header that the codec uses. Other headers are ignored.
func (h *head) setHeader(name []byte, value string) error {
	switch {
	case equalFold(name, "content-length"):
		length, err := parseContentLength(value)
		if err != nil {
			return err
		}
		if h.contentLength >= 0 && h.contentLength != length {
			return fmt.Errorf("%w: several Content-Length headers that differ", ErrMalformed)
		}
		h.contentLength = length
	case equalFold(name, "transfer-encoding"):
		if h.chunked || !strings.EqualFold(value, "chunked") {
			return fmt.Errorf("%w: Transfer-Encoding repeated or not chunked", ErrMalformed)
		}
		h.chunked = true
	case equalFold(name, "connection"):
		h.setConnection(value)
	case equalFold(name, "retry-after"):
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			h.message.RetryAfter = seconds
		}
	}
	return nil
}

// setConnection applies the options of a Connection header: close, and keep-alive in HTTP/1.0.
func (h *head) setConnection(value string) {
	for option := range strings.SplitSeq(value, ",") {
		switch option = strings.TrimSpace(option); {
		case strings.EqualFold(option, "close"):
			h.message.Close = true
		case strings.EqualFold(option, "keep-alive") && h.minorVersion == '0':
			h.message.Close = false
		}
	}
}

// parseRequestLine parses the first line of a request into m and returns the minor version of HTTP/1.
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

// parseStatusLine parses the first line of a response into m and returns the minor version of HTTP/1.
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

// parseVersion returns the minor version of HTTP/1.0 or HTTP/1.1, '0' or '1'.
func parseVersion(v []byte) (byte, error) {
	if len(v) != 8 || string(v[:7]) != "HTTP/1." || (v[7] != '0' && v[7] != '1') {
		return 0, fmt.Errorf("%w: version is not HTTP/1.0 or HTTP/1.1", ErrMalformed)
	}
	return v[7], nil
}

// parseContentLength parses the value of a Content-Length header. It accepts only digits: HTTP
// implementations differ in how they read signs and lists of lengths.
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

// isToken reports whether b is an HTTP token, the form of methods and header names.
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

// isFieldValue reports whether b contains no control characters other than tabs.
func isFieldValue(b []byte) bool {
	for _, c := range b {
		if (c < ' ' && c != '\t') || c == 0x7f {
			return false
		}
	}
	return true
}

// equalFold reports whether a header name, in upper or lower case, equals a lower-case name.
func equalFold(b []byte, lower string) bool {
	return len(b) == len(lower) && strings.EqualFold(string(b), lower)
}
