package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// bodyMemory bounds the bytes of requests that are held at once, over all clients: they wait here whole until they are
// sent, so that a slow client keeps no replica busy and a further try can send the same again.
type bodyMemory struct {
	limit int64
	used  atomic.Int64
}

var errBodyMemoryFull = errors.New("too many bytes of requests are held")

const bodyChunkBytes = 16 << 10

// read takes a body whole. What it took must be given back by release.
func (m *bodyMemory) read(r io.Reader, length, limit int64) (body []byte, err error) {
	if length > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if length > 0 {
		if !m.reserve(length) {
			return nil, errBodyMemoryFull
		}
		body = make([]byte, length)
		_, err = io.ReadFull(r, body)
		return body, err
	}
	buf := make([]byte, bodyChunkBytes)
	for {
		n, err := r.Read(buf)
		if n > 0 {
			if int64(len(body)+n) > limit {
				return body, &http.MaxBytesError{Limit: limit}
			}
			if !m.reserve(int64(n)) {
				return body, errBodyMemoryFull
			}
			body = append(body, buf[:n]...)
		}
		if err == io.EOF {
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
