package grantclient

import (
	"strconv"

	"zincloft.example/zincloft/controlplane/ownership"
)

// requestEncoder encodes requests into a buffer that it reuses.
type requestEncoder struct {
	body    []byte
	request []byte
}

// encode returns the request of a call. It is valid until the next call of encode.
func (e *requestEncoder) encode(call *ownership.Call) []byte {
	e.body = appendBody(e.body[:0], call)
	path := "/api/grant"
	if call.Kind == ownership.CallRelease {
		path = "/api/release"
	}
	b := append(e.request[:0], "POST "...)
	b = append(b, path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, call.Address...)
	b = append(b, "\r\nX-Target-Instance: "...)
	b = append(b, call.Replica...)
	b = append(b, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(e.body)), 10)
	b = append(b, "\r\n\r\n"...)
	e.request = append(b, e.body...)
	return e.request
}

// appendBody appends the JSON body of a call.
func appendBody(b []byte, call *ownership.Call) []byte {
	b = append(b, `{"from_version":`...)
	b = strconv.AppendUint(b, uint64(call.From), 10)
	b = append(b, `,"target_version":`...)
	b = strconv.AppendUint(b, uint64(call.To), 10)
	b = append(b, `,"fence":`...)
	b = strconv.AppendUint(b, call.Token, 10)
	if call.Kind == ownership.CallGrant {
		b = append(b, `,"hold":"`...)
		b = strconv.AppendInt(b, call.Hold.Milliseconds(), 10)
		b = append(b, `ms"`...)
		if isHandover(call.Handover) {
			b = append(b, `,"handover":"`...)
			b = appendEscaped(b, call.Handover)
			b = append(b, '"')
		}
	}
	return append(b, '}')
}

// appendEscaped appends visible ASCII text as the inside of a JSON string.
func appendEscaped(b []byte, text string) []byte {
	for i := range len(text) {
		if text[i] == '"' || text[i] == '\\' {
			b = append(b, '\\')
		}
		b = append(b, text[i])
	}
	return b
}

// maxHandoverBytes limits a handover: it is kept in the replicated register.
const maxHandoverBytes = 256

// isHandover reports whether text can be a handover. A replica to which none is sent serves the keys more slowly for a time.
func isHandover(text string) bool {
	return len(text) <= maxHandoverBytes && isSendable(text)
}

// isSendable reports whether text is not empty and consists of visible ASCII characters, so that it can be sent in a header field.
func isSendable(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return text != ""
}
