package replica

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"
)

const (
	maxHeadBytes     = 64 << 10 // maximum size of a response head
	encodedHeadBytes = 1024     // initial buffer size for a request
)

// errAmbiguousHead is returned for a response head that can be parsed in two ways or exceeds maxHeadBytes.
var errAmbiguousHead = errors.New("ambiguous or oversized response head")

// awaitHead waits for the complete head of the next response and rejects ambiguities that http.ReadResponse tolerates.
func (c *conn) awaitHead() error {
	for seen := 0; ; {
		b, _ := c.reader.Peek(c.reader.Buffered()) // peeking at buffered bytes cannot fail
		if end := endOfHead(b, max(seen-3, 0)); end >= 0 {
			if !isUnambiguous(b[:end]) {
				return errAmbiguousHead
			}
			return nil
		}
		if seen = len(b); seen >= maxHeadBytes {
			return errAmbiguousHead
		}
		if seen == c.reader.Size() {
			c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(b)), c.Conn), maxHeadBytes)
		}
		if _, err := c.reader.Peek(seen + 1); err != nil {
			return err
		}
	}
}

// endOfHead returns the offset after the empty line that ends a head, searching from an offset, or -1 if it is not found.
func endOfHead(b []byte, from int) int {
	for i := from; ; {
		j := bytes.IndexByte(b[i:], '\n')
		if j < 0 {
			return -1
		}
		i += j + 1
		switch rest := b[i:]; {
		case len(rest) > 0 && rest[0] == '\n':
			return i + 1
		case len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n':
			return i + 2
		}
	}
}

// statusLine matches the start of a response. Within a head it means that the end of an earlier, incomplete response is
// followed by another one.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

// isUnambiguous reports whether a head can be parsed in one way only.
func isUnambiguous(head []byte) bool {
	if i := bytes.Index(head[1:], []byte("HTTP/1.")); i >= 0 && statusLine.Match(head[1+i:]) {
		return false
	}
	framings := 0
	for first := true; len(head) > 0; first = false {
		line, rest, _ := bytes.Cut(head, []byte{'\n'})
		head = rest
		line = bytes.TrimSuffix(line, []byte{'\r'})
		isFolded := !first && len(line) > 0 && (line[0] == ' ' || line[0] == '\t')
		if isFolded || bytes.IndexByte(line, '\r') >= 0 {
			return false
		}
		if isFraming(line) {
			framings++
		}
	}
	return framings <= 1
}

// isFraming reports whether a header line defines the length of the body.
func isFraming(line []byte) bool {
	i := bytes.IndexByte(line, ':')
	switch i {
	case len("Content-Length"):
		return bytes.EqualFold(line[:i], []byte("Content-Length"))
	case len("Transfer-Encoding"):
		return bytes.EqualFold(line[:i], []byte("Transfer-Encoding"))
	}
	return false
}

// hopByHopHeaders are the header fields that apply to a single connection (RFC 9110, 7.6.1).
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// protectedHeaders are end-to-end fields that a Connection field cannot remove (RFC 9110, 7.6.1).
var protectedHeaders = map[string]bool{
	"Content-Type":    true,
	"Retry-After":     true,
	"X-Attempt-Id":    true,
	"X-Response-Seal": true,
}

// EndToEndHeaders returns the header fields to forward, without hop-by-hop fields and those listed in the Connection field.
// The values are shared with header.
func EndToEndHeaders(header http.Header) http.Header {
	forwarded := make(http.Header, len(header))
	for name, values := range header {
		if !hopByHopHeaders[name] {
			forwarded[name] = values
		}
	}
	for _, options := range header["Connection"] {
		for name := range strings.SplitSeq(options, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); !protectedHeaders[name] {
				delete(forwarded, name)
			}
		}
	}
	return forwarded
}

// managedHeaders are the fields that encodeHead sets itself or omits.
var managedHeaders = map[string]bool{"Host": true, "Content-Length": true, "X-Deadline-Ms": true, "X-Target-Instance": true, "Expect": true}

// encodeHead encodes a request's head, with spare capacity for a small body.
func (q *Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(encodedHeadBytes + min(len(q.Body), concurrentWriteBytes))
	b.WriteString(q.Method + " " + q.URI + " HTTP/1.1\r\nHost: " + q.Host + "\r\n")
	left := max(time.Until(q.Deadline).Milliseconds(), 1)
	b.WriteString("X-Deadline-Ms: " + strconv.FormatInt(left, 10) + "\r\nX-Target-Instance: " + q.InstanceID + "\r\n")
	if len(q.Body) > 0 || q.Method == http.MethodPost || q.Method == http.MethodPut || q.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	_ = q.Header.WriteSubset(&b, managedHeaders) // writing to a buffer cannot fail
	b.WriteString("\r\n")
	return b.Bytes()
}
