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
	maxHeadBytes     = 64 << 10 // of a response
	encodedHeadBytes = 1024     // of a request, at first
)

// errAmbiguousHead says that a response's head can be read in two ways, or has no end within maxHeadBytes.
var errAmbiguousHead = errors.New("ambiguous head of a response")

// awaitHead waits for the complete head of the next response and checks what http.ReadResponse would mend in silence.
func (c *conn) awaitHead() error {
	for seen := 0; ; {
		b, _ := c.reader.Peek(c.reader.Buffered()) // what is buffered can always be peeked
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

// endOfHead returns the offset behind the empty line that ends a head, looking from an offset on; -1: it has not come.
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

// statusLine is what a response begins with. Within a head it is the beginning of another response, behind a piece of a
// surplus one.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

// isUnambiguous tells whether a head can be read in one way only.
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

// isFraming tells whether a header line says where the body ends.
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

// hopByHop are the header fields that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = map[string]bool{
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

// protectedHeaders are those that a Connection field may not remove: they are meant for the other end (RFC 9110, 7.6.1).
var protectedHeaders = map[string]bool{
	"Content-Type":    true,
	"Retry-After":     true,
	"X-Attempt-Id":    true,
	"X-Response-Seal": true,
}

// EndToEndHeaders returns the header fields that are passed on: without those that concern one connection, by name or as
// the Connection field lists them. The values are shared with header.
func EndToEndHeaders(header http.Header) http.Header {
	passed := make(http.Header, len(header))
	for name, values := range header {
		if !hopByHop[name] {
			passed[name] = values
		}
	}
	for _, options := range header["Connection"] {
		for name := range strings.SplitSeq(options, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); !protectedHeaders[name] {
				delete(passed, name)
			}
		}
	}
	return passed
}

// ownHeaders are the fields that encodeHead writes by itself, or never.
var ownHeaders = map[string]bool{"Host": true, "Content-Length": true, "X-Deadline-Ms": true, "X-Target-Instance": true, "Expect": true}

// encodeHead encodes a request's head, with room for a small body behind it.
func (q *Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(encodedHeadBytes + min(len(q.Body), concurrentWriteBytes))
	b.WriteString(q.Method + " " + q.URI + " HTTP/1.1\r\nHost: " + q.Host + "\r\n")
	left := max(time.Until(q.Deadline).Milliseconds(), 1)
	b.WriteString("X-Deadline-Ms: " + strconv.FormatInt(left, 10) + "\r\nX-Target-Instance: " + q.InstanceID + "\r\n")
	if len(q.Body) > 0 || q.Method == http.MethodPost || q.Method == http.MethodPut || q.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	_ = q.Header.WriteSubset(&b, ownHeaders) // a buffer takes everything
	b.WriteString("\r\n")
	return b.Bytes()
}
