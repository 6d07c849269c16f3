// Package resp reads and writes messages in the framing of RESP2, the Redis serialization protocol: arrays of bulk
// strings, with limits on their size and number.
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
	readChunkBytes   = 4 << 10 // the payload grows by no more than this before the bytes have arrived
	bufferBytes      = 1 << 10 // small: thousands of streams are open at once, and most of their messages are short
	maxRetainedBytes = 8 << 10 // of payload memory that is kept for the next message
	usualElements    = 64      // messages of no more elements need no allocation for their offsets
	maxHeaderBytes   = 20      // of a header after its prefix; a 64-bit number and CR LF fit
)

// Reader reads messages from a stream. Its memory grows with the bytes that have arrived, not with the sizes that were
// announced.
type Reader struct {
	MaxBytes    int // bytes of one message with its framing
	MaxElements int // bulk strings of one message

	source    *bufio.Reader
	remaining int    // bytes that the current message may still have
	payload   []byte // elements of the current message, one after the other
	elements  [][]byte
	header    [maxHeaderBytes]byte // buffer of readHeaderLine, to save an allocation a header
}

// NewReader returns a Reader on source that accepts messages of at most maxBytes and maxElements.
func NewReader(source io.Reader, maxBytes, maxElements int) *Reader {
	return &Reader{MaxBytes: maxBytes, MaxElements: maxElements, source: bufio.NewReaderSize(source, bufferBytes)}
}

// ProtocolError reports input that is not a message, or one that exceeds a limit. The start of the next message can't be
// found after it, so the stream is of no further use.
type ProtocolError string

func (e ProtocolError) Error() string { return string(e) }

func protocolErrorf(format string, a ...any) error { return ProtocolError(fmt.Sprintf(format, a...)) }

// Next reads one message and returns its elements, which are valid until the next call. It returns io.EOF only where the
// input ends between messages, io.ErrUnexpectedEOF where it ends inside one, and a ProtocolError for invalid framing.
func (r *Reader) Next() ([][]byte, error) {
	if cap(r.payload) > maxRetainedBytes {
		r.payload = nil
	}
	r.remaining, r.payload, r.elements = r.MaxBytes, r.payload[:0], r.elements[:0]
	count, err := r.readHeader('*', r.MaxElements)
	if err != nil {
		return nil, err
	}
	var room [usualElements]int
	ends := room[:0]
	for range count {
		if err = r.readElement(); err != nil {
			return nil, truncated(err)
		}
		ends = append(ends, len(r.payload))
	}
	start := 0
	for _, end := range ends { // sliced only now that the payload no longer moves
		r.elements = append(r.elements, r.payload[start:end:end])
		start = end
	}
	return r.elements, nil
}

// NextStrings is Next for callers that keep the elements.
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

// Size returns the number of bytes of the last message, framing included.
func (r *Reader) Size() int { return r.MaxBytes - r.remaining }

// truncated converts the end of the input inside a message into io.ErrUnexpectedEOF.
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
			return protocolErrorf("a word without its end")
		}
	}
	return nil
}

// readHeader reads a line of a prefix byte and a decimal number from 0 to maxValue.
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

// readHeaderLine reads the rest of a header up to and with its line feed.
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

// parseHeader reads the number of a header line, which begins with a digit and ends with CR LF.
func parseHeader(line []byte) (value int, valid bool) {
	digits, terminated := bytes.CutSuffix(line, []byte(terminator))
	if !terminated || len(digits) == 0 || digits[0] < '0' || digits[0] > '9' {
		return 0, false
	}
	value, err := strconv.Atoi(string(digits))
	return value, err == nil
}

func notANumber(prefix byte) error { return protocolErrorf("%q is not followed by a number", prefix) }
