package transport

import (
	"bytes"

	"quillshunt/internal/limits"
)

// phase is the part of a message that the decoder reads next.
type phase uint8

const (
	phaseHead       phase = iota // start line and headers
	phaseFixedBody               // a body of known length
	phaseChunkSize               // the line with the size of a chunk
	phaseChunkData               // the bytes of a chunk
	phaseChunkEnd                // the CRLF after the data of a chunk
	phaseTrailer                 // the header lines after the last chunk
	phaseUntilClose              // a body without a length, which ends with the stream
)

// Decoder decodes HTTP messages from a byte stream that arrives in pieces of any size. It is not safe
// for concurrent use.
type Decoder struct {
	decodesResponses   bool   // otherwise it decodes requests
	maxBody            int    // size limit of a body, in bytes
	buffer             []byte // bytes that are not decoded yet
	leadingLineChecked bool   // the check for an empty line before the request is done
	scannedBytes       int    // bytes of buffer already searched for the end of the head
	phase              phase
	message            *Message
	remaining          int   // bytes of the body or chunk that are not decoded yet
	trailerBytes       int   // length of the trailer lines decoded so far, in bytes
	err                error // the first decoding error, which every later call of Next returns
}

// NewRequestDecoder returns a decoder of requests with bodies of up to maxBody bytes.
func NewRequestDecoder(maxBody int) *Decoder { return &Decoder{maxBody: maxBody} }

// NewResponseDecoder returns a decoder of responses with bodies of up to maxBody bytes.
func NewResponseDecoder(maxBody int) *Decoder {
	return &Decoder{decodesResponses: true, maxBody: maxBody}
}

// Feed adds bytes from the stream.
func (d *Decoder) Feed(p []byte) { d.buffer = append(d.buffer, p...) }

// Buffered returns how many bytes are not decoded yet.
func (d *Decoder) Buffered() int { return len(d.buffer) }

// HasPartialMessage reports whether bytes have arrived that belong to a message not returned by Next yet.
func (d *Decoder) HasPartialMessage() bool { return len(d.buffer) > 0 || d.phase != phaseHead }

// Next returns the next complete message, or nil if more bytes are needed. Errors wrap ErrMalformed or
// ErrTooLarge. After an error the position in the stream is lost, and Next returns the same error again.
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
		d.buffer = nil // frees the memory while the connection is idle
	}
	return m, nil
}

// HandleEOF notifies the decoder that the stream has ended. It returns the current response if its body
// has no length and so ends with the stream. In any other phase the end of the stream is an error.
func (d *Decoder) HandleEOF() (*Message, error) {
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

// reset prepares the decoder for the next message. Buffered bytes are kept.
func (d *Decoder) reset() {
	d.phase, d.message, d.leadingLineChecked = phaseHead, nil, false
	d.remaining, d.scannedBytes, d.trailerBytes = 0, 0, 0
}

// finish returns the complete message and prepares the decoder for the next one.
func (d *Decoder) finish() *Message {
	m := d.message
	d.reset()
	return m
}

// next decodes one phase after the other until a message is complete or more bytes are needed.
func (d *Decoder) next() (*Message, error) {
	for {
		m, more, err := d.step()
		if m != nil || err != nil || !more {
			return m, err
		}
	}
}

// step decodes the current phase. It returns the message once that is complete. Otherwise more reports
// whether decoding can go on with the buffered bytes.
func (d *Decoder) step() (m *Message, more bool, err error) {
	switch d.phase {
	case phaseHead:
		return d.readHead()
	case phaseFixedBody:
		return d.readFixedBody()
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
	// RFC 9112, section 2.2, asks servers to ignore an empty line before a request. Whether there is one
	// is decided before anything else is parsed, so that the result does not depend on how the stream
	// is split into reads.
	if !d.decodesResponses && !d.leadingLineChecked {
		if len(d.buffer) == 0 || (len(d.buffer) == 1 && d.buffer[0] == '\r') {
			return nil, false, nil
		}
		d.buffer = bytes.TrimPrefix(d.buffer, []byte("\r\n"))
		d.leadingLineChecked = true
	}
	from := max(0, d.scannedBytes-3)
	i := bytes.Index(d.buffer[from:], []byte("\r\n\r\n"))
	if i < 0 {
		d.scannedBytes = len(d.buffer)
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
	d.scannedBytes = 0
	if d.phase == phaseHead { // no body
		return d.finish(), false, nil
	}
	return nil, true, nil
}

func (d *Decoder) readFixedBody() (m *Message, more bool, err error) {
	if len(d.buffer) < d.remaining {
		return nil, false, nil
	}
	d.message.Body = append([]byte(nil), d.buffer[:d.remaining]...)
	d.buffer = d.buffer[d.remaining:]
	return d.finish(), false, nil
}

func (d *Decoder) readChunkSize() (m *Message, more bool, err error) {
	i := bytes.Index(d.buffer, []byte("\r\n"))
	if i > limits.MaxChunkLineBytes || (i < 0 && len(d.buffer) > limits.MaxChunkLineBytes) {
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

// parseChunkSize parses the line with the size of a chunk. It ignores chunk extensions.
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
