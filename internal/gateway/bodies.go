package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// bodies bounds the bytes of requests that are held at once, over all clients: they wait here whole until they are
// sent, so that a slow client keeps no replica busy and a further try can send the same again.
type bodies struct {
	most int64
	held atomic.Int64
}

var errCrowded = errors.New("too many bytes of requests are held")

const bodyStep = 16 << 10

// read takes a body whole. What it took must be given back by release.
func (b *bodies) read(r io.Reader, length, limit int64) (body []byte, err error) {
	if length > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if length > 0 {
		if !b.take(length) {
			return nil, errCrowded
		}
		body = make([]byte, length)
		_, err = io.ReadFull(r, body)
		return body, err
	}
	buf := make([]byte, bodyStep)
	for {
		n, err := r.Read(buf)
		if n > 0 {
			if int64(len(body)+n) > limit {
				return body, &http.MaxBytesError{Limit: limit}
			}
			if !b.take(int64(n)) {
				return body, errCrowded
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

func (b *bodies) take(n int64) bool {
	if b.held.Add(n) > b.most {
		b.held.Add(-n)
		return false
	}
	return true
}

func (b *bodies) release(body []byte) { b.held.Add(-int64(len(body))) }
