package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// bodyMemory bounds the bytes of request bodies that are buffered at once, over all clients. Bodies wait here until they
// are complete, so that a slow client keeps no replica busy and a retry can send the same bytes again.
type bodyMemory struct {
	limit int64
	used  atomic.Int64
}

// errBodyMemoryFull says that the bodies of other requests hold all memory meant for them.
var errBodyMemoryFull = errors.New("too many bytes of request bodies are buffered")

// bodyChunkBytes is how much of a body of unknown length is read at once.
const bodyChunkBytes = 16 << 10

// read reads a body completely. length is -1 where it is not known; a body beyond limit is an *http.MaxBytesError. What it
// returns must be released, also beside an error.
func (m *bodyMemory) read(r io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if length > 0 {
		return m.readKnownLength(r, length)
	}
	return m.readUnknownLength(r, limit)
}

func (m *bodyMemory) readKnownLength(r io.Reader, length int64) ([]byte, error) {
	if !m.reserve(length) {
		return nil, errBodyMemoryFull
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

func (m *bodyMemory) readUnknownLength(r io.Reader, limit int64) (body []byte, err error) {
	chunk := make([]byte, bodyChunkBytes)
	for {
		n, err := r.Read(chunk)
		if n > 0 {
			if int64(len(body)+n) > limit {
				return body, &http.MaxBytesError{Limit: limit}
			}
			if !m.reserve(int64(n)) {
				return body, errBodyMemoryFull
			}
			body = append(body, chunk[:n]...)
		}
		if err == io.EOF { // bare by the contract of io.Reader; a wrapped one would be a truncated body
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

func (m *bodyMemory) reserve(n int64) bool {
	if m.used.Add(n) > m.limit {
		m.used.Add(-n)
		return false
	}
	return true
}

func (m *bodyMemory) release(body []byte) { m.used.Add(-int64(len(body))) }
