// Package resp reads and writes messages in RESP2, the Redis serialization protocol. A message is an array of bulk strings.
// The reader limits its size and the number of its elements.
package resp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
)

const (
	readChunkBytes   = 4 << 10 // maximum growth of the payload ahead of the bytes received
	bufferBytes      = 1 << 10 // small, as thousands of streams are open and most messages are short
	maxRetainedBytes = 8 << 10 // payload memory reused for the next message
	usualElements    = 64      // messages with more elements allocate memory for their offsets
	maxHeaderBytes   = 20      // maximum size of a header after its prefix; a 64-bit number and CR LF fit
)

// Reader reads messages from a stream. It allocates memory for bytes received, not for sizes announced in headers.
type Reader struct {
	MaxBytes    int // maximum size of a message, including framing
	MaxElements int // maximum number of bulk strings in a message

	source    *bufio.Reader
	remaining int    // bytes left until the current message exceeds MaxBytes
	payload   []byte // concatenated elements of the current message
	elements  [][]byte
	header    [maxHeaderBytes]byte // buffer of readHeaderLine, saves an allocation per header
}

// NewReader returns a Reader that reads messages of at most maxBytes and maxElements from source.
func NewReader(source io.Reader, maxBytes, maxElements int) *Reader {
	return &Reader{MaxBytes: maxBytes, MaxElements: maxElements, source: bufio.NewReaderSize(source, bufferBytes)}
}

// ProtocolError reports input that is not a valid message or exceeds a limit. The stream cannot be used afterwards, because
// the start of the next message is unknown.
type ProtocolError string

func (e ProtocolError) Error() string { return string(e) }

func protocolErrorf(format string, a ...any) error { return ProtocolError(fmt.Sprintf(format, a...)) }

// Next reads one message and returns its elements, which are valid until the next call. It returns io.EOF only if the input
// ends between messages, io.ErrUnexpectedEOF if it ends inside one, and a ProtocolError for invalid framing.
func (r *Reader) Next() ([][]byte, error) {
	if cap(r.payload) > maxRetainedBytes {
		r.payload = nil
	}
	r.remaining, r.payload, r.elements = r.MaxBytes, r.payload[:0], r.elements[:0]
	count, err := r.readHeader('*', r.MaxElements)
	if err != nil {
		return nil, err
	}
	var buffer [usualElements]int
	ends := buffer[:0]
	for range count {
		if err = r.readElement(); err != nil {
			return nil, truncated(err)
		}
		ends = append(ends, len(r.payload))
	}
	start := 0
	for _, end := range ends { // sliced only after the payload has stopped growing, which may move it
		r.elements = append(r.elements, r.payload[start:end:end])
		start = end
	}
	return r.elements, nil
}

// NextStrings is like Next but returns copies of the elements, which stay valid.
func (r *Reader) NextStrings() ([]string, error) {
	elements, err := r.Next()
	if err != nil {
		return nil, err
	}
	strings := make([]string, len(elements))
	for i, element := range elements {
		strings[i] = string(element)
	}
	return strings, nil
}

// Size returns the size of the last message in bytes, including framing.
func (r *Reader) Size() int { return r.MaxBytes - r.remaining }

// truncated converts io.EOF inside a message to io.ErrUnexpectedEOF.
func truncated(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readElement reads one bulk string and appends it to the payload.
func (r *Reader) readElement() error {
	left, err := r.readHeader('$', r.remaining)
	if err != nil {
		return err
	}
	if r.remaining -= left + len(terminator); r.remaining < 0 {
		return protocolErrorf("a message of more than %d bytes", r.MaxBytes)
	}
	for left > 0 {
		start, size := len(r.payload), min(left, readChunkBytes)
		r.payload = slices.Grow(r.payload, size)[:start+size]
		if _, err := io.ReadFull(r.source, r.payload[start:]); err != nil {
			return err
		}
		left -= size
	}
	return r.readTerminator()
}

func (r *Reader) readTerminator() error {
	for _, want := range terminator {
		got, err := r.source.ReadByte()
		if err != nil {
			return err
		}
		if got != byte(want) {
			return protocolErrorf("a bulk string without its terminator")
		}
	}
	return nil
}

// readHeader reads a header: a prefix byte and a decimal number in the range 0 to maxValue.
func (r *Reader) readHeader(prefix byte, maxValue int) (int, error) {
	got, err := r.source.ReadByte()
	if err != nil {
		return 0, err
	}
	if got != prefix {
		return 0, protocolErrorf("%q where %q is due", got, prefix)
	}
	line, err := r.readHeaderLine(prefix)
	if err != nil {
		return 0, err
	}
	value, valid := parseHeader(line)
	if !valid {
		return 0, notANumber(prefix)
	}
	if r.remaining -= 1 + len(line); value > maxValue || r.remaining < 0 {
		return 0, protocolErrorf("%q is followed by %d, more than %d", prefix, value, maxValue)
	}
	return value, nil
}

// readHeaderLine reads the rest of a header, including its line feed.
func (r *Reader) readHeaderLine(prefix byte) ([]byte, error) {
	line := r.header[:0]
	for len(line) < maxHeaderBytes {
		b, err := r.source.ReadByte()
		if err != nil {
			return nil, truncated(err)
		}
		if line = append(line, b); b == '\n' {
			return line, nil
		}
	}
	return nil, notANumber(prefix)
}

// parseHeader parses a header line, which must be a decimal number that starts with a digit, followed by CR LF.
func parseHeader(line []byte) (value int, valid bool) {
	digits, terminated := bytes.CutSuffix(line, []byte(terminator))
	if !terminated || len(digits) == 0 || digits[0] < '0' || digits[0] > '9' {
		return 0, false
	}
	value, err := strconv.Atoi(string(digits))
	return value, err == nil
}

func notANumber(prefix byte) error { return protocolErrorf("%q is not followed by a number", prefix) }
