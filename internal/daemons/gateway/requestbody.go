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

// receiveBody reads a request's body completely by the deadline. The returned body must be released from bodyBudget even if
// there is an error.
//
// It also sets the write deadline, so that a client that sends or reads slowly cannot hold its connection beyond its own
// deadline.
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
	if !conn.EndBody() && err == nil { // the limiter timed the body out while its last bytes arrived
		err = os.ErrDeadlineExceeded
	}
	if err != nil {
		return body, err
	}
	_ = control.SetReadDeadline(time.Time{}) // fails on a closed connection only, as writing the response does then
	return body, nil
}

// bodyRejection maps an error of receiveBody to a rejection. The request has reached no replica.
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
		return rejection{aborts: true, counter: countBodyAborted} // the client has disconnected
	}
	return rejection{status: http.StatusBadRequest, badRequest: causeBodyFraming, closesConn: true}
}
