package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"zincloft.example/zincloft/internal/daemons/bodybuffer"
	"zincloft.example/zincloft/internal/daemons/connlimit"
)

// receiveBody reads a request's body completely, by the deadline. What it returns must be released from bodies, also
// beside an error.
//
// A client that sends or reads too slowly loses its connection: it may not hold one beyond its own deadline.
func (g *Gateway) receiveBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	control := http.NewResponseController(w)
	hasBody := r.Body != nil && r.Body != http.NoBody
	if hasBody {
		_ = control.SetReadDeadline(deadline) // fails on a closed connection only, as the read does then
	}
	_ = control.SetWriteDeadline(deadline.Add(responseWriteGrace)) // fails on a closed connection only, as the write does then
	if !hasBody {
		return nil, nil
	}
	conn := connlimit.FromContext(r.Context())
	conn.BeginBody()
	body, err := g.bodyBudget.Read(r.Body, r.ContentLength, limit)
	if !conn.EndBody() && err == nil { // completed in the moment in which the request was given up, to make room for others
		err = os.ErrDeadlineExceeded
	}
	if err != nil {
		return body, err
	}
	_ = control.SetReadDeadline(time.Time{}) // fails on a closed connection only, which the response's write finds
	return body, nil
}

// bodyRejection is what follows from an error of receiveBody. Nothing of such a request went to a replica.
func bodyRejection(err error) rejection {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return rejection{status: http.StatusRequestEntityTooLarge, counter: countBodyTooLarge, closesConn: true}
	case errors.Is(err, bodybuffer.ErrFull):
		return rejection{status: http.StatusServiceUnavailable, counter: countBodyMemoryFull, retryAfter: defaultRetryAfter, closesConn: true}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return rejection{status: http.StatusRequestTimeout, badRequest: causeBodyLate, closesConn: true}
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), errors.Is(err, syscall.ECONNRESET):
		return rejection{aborts: true, counter: countBodyAborted} // the rest never came: nobody waits for a response
	}
	return rejection{status: http.StatusBadRequest, badRequest: causeBodyFraming, closesConn: true}
}
