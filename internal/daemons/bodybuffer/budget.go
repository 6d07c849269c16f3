// Package bodybuffer reads the bodies of requests completely into memory, and bounds the bytes that all of them hold at once.
//
// Memory is taken as bytes come, not as a length announces them: whoever announces much and sends little holds little.
package bodybuffer

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// ErrFull says that other bodies hold all memory meant for them.
var ErrFull = errors.New("too many bytes of request bodies are buffered")

// chunkBytes is how much of a body is taken at first, and at once where its length is not known.
const chunkBytes = 16 << 10

// Budget bounds the bytes that are held at once. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New makes a budget of so many bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Used is how many bytes are held.
func (b *Budget) Used() int64 { return b.used.Load() }

// Reserve takes n bytes, if there are as many.
func (b *Budget) Reserve(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// Release gives n bytes back.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// ReleaseBody gives back what a body that Read returned holds.
func (b *Budget) ReleaseBody(body []byte) { b.Release(int64(cap(body))) }

// Read reads a body completely. length is -1 where it is not known; a body beyond limit is an *http.MaxBytesError. What it returns must be
// released, also beside an error, and must not be appended to.
func (b *Budget) Read(r io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if length == 0 {
		return nil, nil
	}
	expected := limit + 1 // one byte more than allowed, to find that there is one
	if length > 0 {
		expected = length
	}
	body, err := b.grow(nil, min(expected, chunkBytes))
	for err == nil {
		n, readErr := r.Read(body[len(body):cap(body)])
		ended := readErr == io.EOF // bare by the contract of io.Reader; a wrapped one would be a truncated body
		body = body[:len(body)+n]
		read := int64(len(body))
		switch {
		case length < 0 && read > limit:
			return body, &http.MaxBytesError{Limit: limit}
		case read == length, length < 0 && ended:
			return body, nil
		case ended:
			return body, io.ErrUnexpectedEOF
		case readErr != nil:
			return body, readErr
		case len(body) == cap(body):
			body, err = b.grow(body, min(expected, 2*read))
		}
	}
	return body, err
}

// grow returns the body with room for size bytes. Where there is no memory it returns the body as it is.
func (b *Budget) grow(body []byte, size int64) ([]byte, error) {
	if !b.Reserve(size) {
		return body, ErrFull
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	b.ReleaseBody(body)
	return grown, nil
}
