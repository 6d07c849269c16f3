package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Behaviour is how a Replica responds to a request.
type Behaviour string

// Behaviours of a Replica.
const (
	AnswersCorrectly        Behaviour = ""           // a complete response
	RejectsNotExecuted      Behaviour = "sheds"      // 503, not executed
	Misdirected             Behaviour = "other"      // 421: the address belongs to another instance
	KeyNotHeld              Behaviour = "notheld"    // 421: the replica does not hold the request's shard key; it states its own ID
	TruncatesResponse       Behaviour = "cut"        // executes it; the response ends early
	SendsGarbage            Behaviour = "garbage"    // executes it, and sends bytes that are not HTTP
	OmitsSeal               Behaviour = "unsealed"   // executes it; the response has no seal
	ClaimsEncoding          Behaviour = "encoded"    // executes it, and claims a content encoding
	ClosesWithoutResponse   Behaviour = "lost"       // executes it, and closes without a response
	NeverResponds           Behaviour = "silent"     // executes it, and sends nothing
	SendsExtraResponse      Behaviour = "surplus"    // sends the response and a second one after it
	SendsStaleResponseFirst Behaviour = "late"       // sends a response to another request before the correct one
	RespondsInternalError   Behaviour = "fails"      // executes it, 500
	ClosesAfterResponse     Behaviour = "closes"     // sends the response and closes the connection without announcing it
	OmitsNotExecuted        Behaviour = "unproven"   // executes it, 503 without X-Not-Executed
	OmitsAttemptID          Behaviour = "noidentity" // executes it; the response has no attempt ID
)

const (
	healthPath             = "/health"
	truncatedBytes         = 5 // left out by TruncatesResponse
	foreignResponseHeaders = "X-Attempt-Id: other\r\nX-Response-Seal: s\r\n"
)

func (b Behaviour) executes() bool {
	return b != RejectsNotExecuted && b != Misdirected && b != KeyNotHeld
}

// serve handles the requests of a connection until it ends or a behaviour closes it.
func (r *Replica) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the gateway may have closed it already
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body) // a request with a truncated body is recorded too
		request.Body = io.NopCloser(strings.NewReader(string(body)))
		attempt := request.Header.Get("X-Attempt-Id")
		if request.URL.Path == healthPath && attempt == "" {
			write(conn, response(http.StatusOK, "X-Instance-Id: "+r.ID+"\r\n", ""))
			continue
		}
		behaviour := r.record(request, attempt)
		if r.ServiceTime > 0 {
			time.Sleep(r.ServiceTime)
		}
		if keep := r.respond(conn, in, behaviour, attempt); !keep {
			return
		}
	}
}

// record selects the behaviour for a request, stores the request and counts its execution.
func (r *Replica) record(request *http.Request, attempt string) Behaviour {
	r.mu.Lock()
	behaviour := AnswersCorrectly
	if len(r.behaviours) > 0 {
		behaviour, r.behaviours = r.behaviours[0], r.behaviours[1:]
	}
	if target := request.Header.Get("X-Target-Instance"); target != "" && target != r.ID {
		behaviour = Misdirected
	}
	r.requests = append(r.requests, request)
	if behaviour.executes() {
		r.executions[attempt]++
	}
	hook, onExecution := r.beforeResponse, r.onExecution
	r.mu.Unlock()
	if onExecution != nil && behaviour.executes() {
		onExecution(attempt)
	}
	if hook != nil {
		hook(attempt)
	}
	return behaviour
}

// respond writes the response to an attempt. It returns false if the connection must be closed.
func (r *Replica) respond(conn net.Conn, in io.Reader, behaviour Behaviour, attempt string) (keep bool) {
	echo := "X-Attempt-Id: " + attempt + "\r\n"
	seal := echo + "X-Response-Seal: seal-" + attempt + "\r\nX-Instance-Load: 1,0,4\r\nKeep-Alive: timeout=10\r\n"
	complete := response(http.StatusOK, seal, "body of "+attempt+" from "+r.ID+"\n")
	foreign := response(http.StatusOK, foreignResponseHeaders, "another's")
	switch behaviour {
	case AnswersCorrectly:
		write(conn, complete)
	case RejectsNotExecuted:
		write(conn, response(http.StatusServiceUnavailable, echo+"X-Not-Executed: 1\r\n", ""))
	case Misdirected:
		write(conn, response(http.StatusMisdirectedRequest, echo+"X-Instance-Id: "+r.ID+"\r\n", ""))
	case KeyNotHeld:
		write(conn, response(http.StatusMisdirectedRequest, echo+"X-Not-Executed: 1\r\nX-Instance-Id: "+r.ID+"\r\n", ""))
	case TruncatesResponse:
		write(conn, complete[:len(complete)-truncatedBytes])
		return false
	case SendsGarbage:
		write(conn, "\x00\x01 not an answer\r\n\r\n")
		return false
	case OmitsSeal:
		write(conn, response(http.StatusOK, echo, "x"))
	case ClaimsEncoding:
		write(conn, response(http.StatusOK, seal+"Content-Encoding: gzip\r\n", "x"))
	case ClosesWithoutResponse:
		return false
	case NeverResponds:
		_, _ = io.Copy(io.Discard, in) // until the gateway closes the connection
		return false
	case SendsExtraResponse:
		write(conn, complete+foreign)
	case SendsStaleResponseFirst:
		write(conn, foreign+complete)
	case OmitsNotExecuted:
		write(conn, response(http.StatusServiceUnavailable, echo, ""))
	case RespondsInternalError:
		write(conn, response(http.StatusInternalServerError, echo, "failed\n"))
	case ClosesAfterResponse:
		write(conn, complete)
		return false
	case OmitsAttemptID:
		write(conn, response(http.StatusOK, "X-Response-Seal: s\r\n", "whose?"))
	}
	return true
}

// write sends text. It ignores errors: if the connection has ended, the next read of a request fails.
func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// response formats a response with its length; each header ends in CRLF.
func response(status int, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headers, len(body), body)
}
