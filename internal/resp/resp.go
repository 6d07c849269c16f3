// Package resp reads and writes messages in the RESP2 framing: arrays of bulk strings, with limits.
package resp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
)

// Reader reads messages. Memory grows with the bytes that came, not with those that were announced.
type Reader struct {
	MaxBytes    int // bytes of a message
	MaxElements int // words of a message
	source      *bufio.Reader
	remaining   int
	payload     []byte // of the message read last
	elements    [][]byte
}

// NewReader returns a Reader on r.
func NewReader(source io.Reader, maxBytes, maxElements int) *Reader {
	return &Reader{MaxBytes: maxBytes, MaxElements: maxElements, source: bufio.NewReaderSize(source, bufferBytes)}
}

// ProtocolError tells that what came is no message: it can't be said where the next one begins.
type ProtocolError string

func (e ProtocolError) Error() string { return string(e) }

func protocolErrorf(format string, a ...any) error { return ProtocolError(fmt.Sprintf(format, a...)) }

const (
	readChunkBytes   = 4 << 10
	bufferBytes      = 1 << 10 // thousands of streams are open at once, and most of their messages are short
	maxRetainedBytes = 8 << 10 // of a message's memory, for the next one
)

// Next reads one message, whose words hold until the next call. It returns io.EOF only where the input ends between
// messages.
func (r *Reader) Next() ([][]byte, error) {
	if cap(r.payload) > maxRetainedBytes {
		r.payload = nil
	}
	r.remaining, r.payload, r.elements = r.MaxBytes, r.payload[:0], r.elements[:0]
	count, err := r.readHeader('*', r.MaxElements)
	if err != nil {
		return nil, err
	}
	var room [64]int
	ends := room[:0]
	for range count {
		if err = r.readElement(); err != nil {
			return nil, truncated(err)
		}
		ends = append(ends, len(r.payload))
	}
	start := 0
	for _, end := range ends { // the text has its place for good only now
		r.elements = append(r.elements, r.payload[start:end:end])
		start = end
	}
	return r.elements, nil
}

// NextStrings is Next for those who keep the words.
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

// Size is how many bytes the message read last had.
func (r *Reader) Size() int { return r.MaxBytes - r.remaining }

// truncated is what an error means within a message: an end there is a cut.
func truncated(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readElement adds a word to the message's text.
func (r *Reader) readElement() error {
	left, err := r.readHeader('$', r.remaining)
	if err != nil {
		return err
	}
	if r.remaining -= left + 2; r.remaining < 0 {
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
	for _, want := range "\r\n" {
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

// readHeader reads a line of a mark and a number from 0 to most.
func (r *Reader) readHeader(prefix byte, maxValue int) (int, error) {
	var digits [20]byte
	got, err := r.source.ReadByte()
	if err != nil {
		return 0, err
	}
	if got != prefix {
		return 0, protocolErrorf("%q where %q is due", got, prefix)
	}
	for i := range digits {
		if digits[i], err = r.source.ReadByte(); err != nil {
			return 0, truncated(err)
		}
		if digits[i] != '\n' {
			continue
		}
		if i < 2 || digits[i-1] != '\r' || digits[0] < '0' || digits[0] > '9' {
			break
		}
		n, err := strconv.Atoi(string(digits[:i-1]))
		if err != nil {
			break
		}
		if r.remaining -= i + 2; n > maxValue || r.remaining < 0 {
			return 0, protocolErrorf("%q is followed by %d, more than %d", prefix, n, maxValue)
		}
		return n, nil
	}
	return 0, protocolErrorf("%q is not followed by a number", prefix)
}

// Append adds a message of these words to b.
func Append(b []byte, elements ...string) []byte {
	b = appendHeader(b, '*', len(elements))
	for _, element := range elements {
		b = append(appendHeader(b, '$', len(element)), element...)
		b = append(b, "\r\n"...)
	}
	return b
}

func appendHeader(b []byte, prefix byte, n int) []byte {
	return append(strconv.AppendInt(append(b, prefix), int64(n), 10), "\r\n"...)
}
