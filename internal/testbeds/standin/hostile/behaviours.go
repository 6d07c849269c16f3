package hostile

import (
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// exchange is one request and the connection that it arrived on.
type exchange struct {
	*replicaConn
	id, otherID string // attempt IDs: of this request, and of another one
	response    string // the correct response
	head        string // headers of the correct response without framing
	body        string
	random      int
	execute     func() // records an execution of the request
}

// behaviour is one way to respond to a request. respond returns false if the connection must be closed.
type behaviour struct {
	name    string
	respond func(x *exchange) (keep bool)
}

func (x *exchange) shortDelay() time.Duration { return time.Duration(1+x.random%40) * time.Millisecond }

// drain reads until the gateway closes the connection.
func (x *exchange) drain() {
	_, _ = io.Copy(io.Discard, x.Conn) // fails if the gateway resets the connection
}

// rejection returns a response that states that the request was not executed. Without an id, it has no attempt ID.
func rejection(id string, status int) string {
	s := "HTTP/1.1 " + strconv.Itoa(status) + " No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n"
	if id != "" {
		s += "X-Attempt-Id: " + id + "\r\n"
	}
	return s + "\r\n"
}

// forgedResponse returns a success response with a forged seal.
func forgedResponse(id, head, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: forged\r\n" + head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// followUp says whether the correct response follows the bytes of a behaviour.
type followUp bool

const (
	followedByResponse followUp = true
	withoutResponse    followUp = false
)

// executeThen executes the request and sends the result of output, which is followed by the correct response if then says so.
func executeThen(name string, then followUp, keep bool, output func(x *exchange) string) behaviour {
	return behaviour{name, func(x *exchange) bool {
		x.execute()
		sent := output(x)
		if then == followedByResponse {
			sent += x.response
		}
		x.write(sent)
		return keep
	}}
}

// rejectWith sends the result of output without executing the request.
func rejectWith(name string, output func(x *exchange) string) behaviour {
	return behaviour{name, func(x *exchange) bool { x.write(output(x)); return true }}
}

var behaviours = []behaviour{
	{"reset_before", func(x *exchange) bool { x.reset(); return false }},
	{"reset_after", func(x *exchange) bool { x.execute(); x.reset(); return false }},
	{"reset_midway", func(x *exchange) bool {
		x.execute()
		x.write(x.response[:x.random%len(x.response)])
		x.reset()
		return false
	}},
	{"close_after", func(x *exchange) bool { x.execute(); return false }},
	{"half_close", func(x *exchange) bool {
		x.execute()
		if tc, ok := x.Conn.(*net.TCPConn); ok {
			_ = tc.CloseWrite() // fails on a closed connection only
		}
		x.drain()
		return false
	}},
	{"silence", func(x *exchange) bool { x.execute(); x.drain(); return false }},
	{"silence_not_run", func(x *exchange) bool { x.drain(); return false }},
	{"answer_and_close", func(x *exchange) bool { x.execute(); x.write(x.response); return false }},
	{"answer_and_reset", func(x *exchange) bool { x.execute(); x.write(x.response); x.reset(); return false }},
	{"forgets_soon", func(x *exchange) bool {
		x.execute()
		x.write(x.response)
		time.AfterFunc(x.shortDelay(), x.reset)
		return true
	}},
	{"late_surplus", func(x *exchange) bool { // repeats the response after a delay, as if to a later request
		x.execute()
		x.write(x.response)
		time.AfterFunc(x.shortDelay(), func() { x.write(x.response) })
		return true
	}},
	{"late_forgery", func(x *exchange) bool {
		x.execute()
		x.write(x.response)
		time.AfterFunc(x.shortDelay(), func() { x.write(forgedResponse(x.otherID, "", "forged")) })
		return true
	}},
	{"late_piece", func(x *exchange) bool {
		x.execute()
		x.write(x.response)
		time.AfterFunc(x.shortDelay(), func() { x.write("HTTP/1.1 200 OK\r\nX-Piece: ") })
		return true
	}},
	{"late_garbage", func(x *exchange) bool {
		x.execute()
		x.write(x.response)
		time.AfterFunc(x.shortDelay(), func() { x.write("\x00\xff\r\n\r\n") })
		return true
	}},
	{"refused_twice", func(x *exchange) bool {
		x.write(rejection(x.id, 503))
		time.AfterFunc(x.shortDelay(), func() { x.write(rejection("", 503)) })
		return true
	}},
	{"trickle", func(x *exchange) bool {
		x.execute()
		for i := 0; i < len(x.response); {
			n := min(1+x.random%97, len(x.response)-i)
			if len(x.response) > 10000 {
				n = min(50000, len(x.response)-i)
			}
			x.write(x.response[i : i+n])
			i += n
		}
		return true
	}},
	executeThen("surplus_before", followedByResponse, true, func(x *exchange) string { return forgedResponse(x.otherID, "", "forged") }),
	executeThen("surplus_behind", withoutResponse, true, func(x *exchange) string { return x.response + forgedResponse(x.otherID, "", "forged") }),
	executeThen("doubled", withoutResponse, true, func(x *exchange) string { return x.response + x.response }),
	executeThen("nameless_before", followedByResponse, true, func(x *exchange) string {
		return strings.Replace(forgedResponse("-", "", "forged"), "X-Attempt-Id: -\r\n", "", 1)
	}),
	executeThen("nameless_refusal_before", followedByResponse, true, func(x *exchange) string { return rejection("", 503) }),
	executeThen("others_refusal_before", followedByResponse, true, func(x *exchange) string { return rejection(x.otherID, 421) }),
	executeThen("earlier_before", followedByResponse, true, func(x *exchange) string {
		x.mu.Lock()
		defer x.mu.Unlock()
		return strings.Join(x.sentResponses, "")
	}),
	executeThen("long_surplus", followedByResponse, true, func(x *exchange) string {
		return forgedResponse(x.otherID, "", strings.Repeat("x", 256<<10)+forgedResponse(x.id, "", "forged")+"tail")
	}),
	executeThen("many_surplus", followedByResponse, true, func(x *exchange) string { return strings.Repeat(forgedResponse(x.otherID, "", "forged"), 6) }),
	executeThen("others_name", withoutResponse, true, func(x *exchange) string { return forgedResponse(x.otherID, "", x.body) }),
	executeThen("no_name", withoutResponse, true, func(x *exchange) string { return strings.Replace(x.response, "X-Attempt-Id: "+x.id+"\r\n", "", 1) }),
	executeThen("two_names", withoutResponse, true, func(x *exchange) string { return forgedResponse(x.id, "X-Attempt-Id: "+x.otherID+"\r\n", "forged") }),
	executeThen("no_seal", withoutResponse, true, func(x *exchange) string {
		return strings.Replace(forgedResponse(x.id, "", "forged"), "X-Response-Seal: forged\r\n", "", 1)
	}),
	executeThen("encoded", withoutResponse, true, func(x *exchange) string { return forgedResponse(x.id, "Content-Encoding: gzip\r\n", "forged") }),
	executeThen("two_framings", withoutResponse, true, func(x *exchange) string { return forgedResponse(x.id, "Transfer-Encoding: chunked\r\n", "0\r\n\r\n") }),
	executeThen("two_lengths", withoutResponse, true, func(x *exchange) string { return forgedResponse(x.id, "Content-Length: 1\r\n", "forged") }),
	executeThen("unframed", withoutResponse, false, func(x *exchange) string { return "HTTP/1.1 200 OK\r\n" + x.head + "\r\nforged" }),
	executeThen("piece_before", followedByResponse, true, func(x *exchange) string { return "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nX-Piece: " }),
	executeThen("garbage", withoutResponse, false, func(x *exchange) string { return "\x00\x01 not an answer\r\n\r\n" }),
	executeThen("garbage_before", followedByResponse, true, func(x *exchange) string { return "not an answer\r\n" }),
	executeThen("endless_head", withoutResponse, false, func(x *exchange) string { return "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Y: zzzzzzzzzzzz\r\n", 8000) }),
	executeThen("interim", followedByResponse, true, func(x *exchange) string {
		return "HTTP/1.1 102 Soon\r\n\r\nHTTP/1.1 103 Hints\r\nX-Attempt-Id: " + x.otherID + "\r\n\r\n"
	}),
	executeThen("interim_flood", followedByResponse, true, func(x *exchange) string { return strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 50) }),
	executeThen("switches", withoutResponse, false, func(x *exchange) string { return "HTTP/1.1 101 Other\r\n" + x.head + "\r\n" }),
	executeThen("cut", withoutResponse, false, func(x *exchange) string { return x.response[:len(x.response)-1-x.random%len(x.body)] }),
	executeThen("cut_chunks", withoutResponse, false, func(x *exchange) string {
		return "HTTP/1.1 200 OK\r\n" + x.head + "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(x.body)), 16) + "\r\n" + x.body + "\r\n"
	}),
	executeThen("chunks_and_trailers", withoutResponse, true, func(x *exchange) string {
		return "HTTP/1.1 200 OK\r\n" + x.head + "Trailer: X-Attempt-Id\r\nTransfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(x.body)), 16) + "\r\n" + x.body + "\r\n0\r\nX-Attempt-Id: " + x.otherID + "\r\n\r\n"
	}),
	executeThen("no_content_with_body", withoutResponse, true, func(x *exchange) string { return "HTTP/1.1 204 None\r\n" + x.head + "Content-Length: 6\r\n\r\nforged" }),
	executeThen("not_modified", withoutResponse, true, func(x *exchange) string { return "HTTP/1.1 304 Same\r\n" + x.head + "Content-Length: 6\r\n\r\n" }),
	executeThen("takes_the_seal", withoutResponse, true, func(x *exchange) string {
		return strings.Replace(x.response, "\r\n", "\r\nConnection: X-Response-Seal, X-Attempt-Id\r\n", 1)
	}),
	executeThen("failure", withoutResponse, true, func(x *exchange) string {
		return "HTTP/1.1 500 Bad\r\nX-Attempt-Id: " + x.id + "\r\nContent-Length: 0\r\n\r\n"
	}),
	executeThen("unproven_503", withoutResponse, true, func(x *exchange) string { return strings.Replace(rejection(x.id, 503), "X-Not-Executed: 1\r\n", "", 1) }),
	executeThen("unproven_429", withoutResponse, true, func(x *exchange) string { return strings.Replace(rejection(x.id, 429), "X-Not-Executed: 1\r\n", "", 1) }),
	executeThen("unproven_408", withoutResponse, true, func(x *exchange) string { return strings.Replace(rejection(x.id, 408), "X-Not-Executed: 1\r\n", "", 1) }),
	executeThen("old_http", withoutResponse, true, func(x *exchange) string { return strings.Replace(x.response, "HTTP/1.1", "HTTP/1.0", 1) }),
	executeThen("no_time", withoutResponse, true, func(x *exchange) string {
		return strings.Replace(x.response, "\r\n", "\r\nKeep-Alive: timeout=0\r\n", 1)
	}),
	rejectWith("full", func(x *exchange) string { return rejection(x.id, 503) }),
	rejectWith("too_many", func(x *exchange) string { return rejection(x.id, 429) }),
	rejectWith("misdirected", func(x *exchange) string { return rejection(x.id, 421) }),
	rejectWith("refused_and_surplus", func(x *exchange) string { return rejection(x.id, 503) + forgedResponse(x.otherID, "", "forged") }),
	rejectWith("surplus_and_refused", func(x *exchange) string { return forgedResponse(x.otherID, "", "forged") + rejection(x.id, 503) }),
}
