// Package bodybuffer reads request bodies completely into memory and limits the total memory that they use.
//
// Memory is reserved as bytes arrive, not according to Content-Length, so that a client cannot reserve memory without sending data.
package bodybuffer

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// ErrFull is returned when the budget is exhausted.
var ErrFull = errors.New("memory budget for request bodies exhausted")

// chunkBytes is the maximum initial size of a body's buffer.
const chunkBytes = 16 << 10

// Budget limits the number of reserved bytes. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New creates a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// Reserve reserves n bytes and reports whether the budget allowed it.
func (b *Budget) Reserve(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// Release releases n reserved bytes.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// ReleaseBody releases the memory reserved for a body returned by Read.
func (b *Budget) ReleaseBody(body []byte) { b.Release(int64(cap(body))) }

// Read reads a body completely. length is -1 if unknown. It returns an *http.MaxBytesError if the body exceeds limit. The returned slice
// must be passed to ReleaseBody even if there is an error, and must not be appended to.
func (b *Budget) Read(r io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if length == 0 {
		return nil, nil
	}
	expected := limit + 1 // one more byte, to detect a body over the limit
	if length > 0 {
		expected = length
	}
	body, err := b.grow(nil, min(expected, chunkBytes))
	for err == nil {
		n, readErr := r.Read(body[len(body):cap(body)])
		ended := readErr == io.EOF // io.Reader returns io.EOF unwrapped; a wrapped one means a truncated body
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

// grow returns body with capacity size. It returns body unchanged and ErrFull if the budget is exhausted.
func (b *Budget) grow(body []byte, size int64) ([]byte, error) {
	if !b.Reserve(size) {
		return body, ErrFull
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	b.ReleaseBody(body)
	return grown, nil
}
