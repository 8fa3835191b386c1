package transport

import (
	"bytes"

	"quillshunt/internal/limits"
)

// phase is the part of a message that the decoder reads next.
type phase uint8

const (
	phaseHead       phase = iota // start line and headers
	phaseLength                  // a body of known length
	phaseChunkSize               // the size line of a chunk
	phaseChunkData               // the bytes of a chunk
	phaseChunkEnd                // the line end after a chunk
	phaseTrailer                 // the headers after the last chunk
	phaseUntilClose              // a body that ends with the stream
)

// Decoder reads messages from a byte stream that arrives in pieces of any size. It is not safe for
// concurrent use.
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

// NewRequestDecoder returns a decoder of requests with bodies of up to maxBody bytes.
func NewRequestDecoder(maxBody int) *Decoder { return &Decoder{maxBody: maxBody} }

// NewResponseDecoder returns a decoder of responses with bodies of up to maxBody bytes.
func NewResponseDecoder(maxBody int) *Decoder { return &Decoder{response: true, maxBody: maxBody} }

// Feed adds bytes from the stream.
func (d *Decoder) Feed(p []byte) { d.buffer = append(d.buffer, p...) }

// Buffered returns how many bytes wait to be parsed.
func (d *Decoder) Buffered() int { return len(d.buffer) }

// Started reports whether part of a message has arrived.
func (d *Decoder) Started() bool { return len(d.buffer) > 0 || d.phase != phaseHead }

// Next returns the next complete message, or nil if more bytes are needed. Errors wrap ErrMalformed
// or are ErrTooLarge; after one the stream is of no further use.
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

// next goes from phase to phase until a message is complete or more bytes are needed.
func (d *Decoder) next() (*Message, error) {
	for {
		m, more, err := d.step()
		if m != nil || err != nil || !more {
			return m, err
		}
	}
}

// step reads what the current phase needs. It returns a message once that is complete; otherwise
// more reports whether the next phase can go on with the bytes that are there.
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

// parseChunkSize parses the size line of a chunk; extensions are ignored.
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
