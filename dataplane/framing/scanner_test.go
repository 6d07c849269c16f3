package framing

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards against request smuggling: net/http accepts each of these requests, or keeps the connection open after it.
func TestAmbiguousFramingIsRejected(t *testing.T) {
	for _, test := range []struct {
		in   string
		want Violation
	}{
		{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "length_and_chunks"},
		{"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n", "length_and_chunks"},
		{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n", "two_lengths"},
		{"POST / HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "chunks_in_http10"},
		{"GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n", "folded_line"},
		{"GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding:\r\n chunked\r\n\r\n", "transfer_encoding"},
		{"GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: identity, chunked\r\n\r\n", "transfer_encoding"},
		{"GET / HTTP/1.1\r\nHost: h\r\nX: a\rb\r\n\r\n", "bare_cr"},
		{"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: +4\r\n\r\n", "length"},
		{"GET / HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n\r\n", "length"},
		{"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabX\r\n", "chunk_end"},
		{"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\nab\r\n", "chunk_size"},
		{"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: y\n\r\n", "trailer"},
		{"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0x2\r\nab\r\n", "chunk_size"},
	} {
		for step := 1; step <= len(test.in); step += max(1, len(test.in)-1) { // byte by byte, and all at once
			var s Scanner
			got := noViolation
			for i := 0; i < len(test.in) && got == noViolation; i += step {
				_, got = s.Feed([]byte(test.in[i:min(i+step, len(test.in))]))
			}
			if got != test.want {
				t.Errorf("%q in steps of %d bytes: got violation %q, want %q", test.in, step, got, test.want)
			}
		}
	}
}

func TestValidRequestsPass(t *testing.T) {
	in := "GET /a HTTP/1.1\r\nHost: h\r\n\r\nPOST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" +
		"POST /c HTTP/1.1\r\nHost: h\r\ntransfer-encoding: Chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: 1\r\n\r\nGET /d HTTP/1.0\r\n\r\n"
	var s Scanner
	for i := range in {
		if n, violation := s.Feed([]byte{in[i]}); n != 1 || violation != noViolation {
			t.Fatalf("byte %d: accepted %d bytes with violation %q, want 1 byte and no violation", i, n, violation)
		}
	}
	if s.Requests() != 4 || !s.Idle() {
		t.Fatalf("got %d requests and idle %v, want 4 and true", s.Requests(), s.Idle())
	}
}

// filter returns the bytes that a scanner accepts, followed by InvalidInput if it finds a violation.
func filter(in []byte, step int) ([]byte, Violation) {
	var s Scanner
	var out []byte
	for i := 0; i < len(in); i += step {
		b := in[i:min(i+step, len(in))]
		n, violation := s.Feed(b)
		out = append(out, b[:n]...)
		if violation != noViolation {
			return append(out, InvalidInput...), violation
		}
	}
	return out, noViolation
}

// FuzzFraming parses the accepted bytes with net/http. Scanner and net/http must agree on where requests start, and
// InvalidInput must never be read as a request.
func FuzzFraming(f *testing.F) {
	for _, in := range []string{
		"GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n",
		"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: 1\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "GET / HTTP/1.1\nX: a\n b\n\n", "\r\n\r\nGET / HTTP/1.1\r\n\r\n",
	} {
		f.Add([]byte(in), uint8(7))
	}
	f.Fuzz(func(t *testing.T, in []byte, step uint8) {
		out, violation := filter(in, 1+int(step))
		var s Scanner
		starts := map[int]bool{}
		for i := range out {
			before := s.Requests()
			s.Feed(out[i : i+1])
			if s.Requests() > before {
				starts[i] = true
			}
		}
		src := bytes.NewReader(out)
		br := bufio.NewReader(src)
		for {
			at := len(out) - src.Len() - br.Buffered()
			r, err := http.ReadRequest(br)
			if err != nil {
				break
			}
			_, err = io.Copy(io.Discard, r.Body)
			end := len(out) - src.Len() - br.Buffered()
			if err != nil {
				break
			}
			if !starts[at] {
				t.Fatalf("net/http reads a request at offset %d of %q, the scanner does not (%q)", at, out, violation)
			}
			if violation != noViolation && end > len(out)-len(InvalidInput) && !strings.HasSuffix(string(out[:end]), "\n\r\n") {
				t.Fatalf("InvalidInput was read as a request: %q (%q)", out, violation)
			}
			for next := at + 1; next < end; next++ {
				if starts[next] {
					t.Fatalf("the scanner reads a request at offset %d of %q, within net/http's request from %d to %d", next, out, at, end)
				}
			}
		}
	})
}
