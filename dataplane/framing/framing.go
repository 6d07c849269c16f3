// Package framing follows the bytes of a client through its requests and says where one is framed so that two readers
// could take it for different requests. It is free of I/O.
//
// net/http takes some of these and mends them in silence (RFC 9112 has a server close the connection after them, or
// allows to refuse them): both lengths, a length given twice, chunks in HTTP/1.0, folded lines, a bare CR. Here they
// are refused before anything of them is read as a request.
package framing

import (
	"bytes"
	"strconv"
)

// Poison is handed on in place of what was found bad. Wherever it stands in a head, in chunks or in trailers, net/http
// takes it for an error of that request, answers 400 in its turn and closes the connection.
const Poison = "\x00\r\n\r\n"

const (
	lineMost   = 1 << 20 // the server's own limit of heads is far below
	chunkLine  = 4096    // as net/http's
	lengthMost = 18      // digits
)

type state uint8

const (
	start   state = iota // of a request; nothing of it is there
	head                 // its lines
	length               // a body of known length
	size                 // the line before a chunk
	chunk                // a chunk's bytes
	ending               // the CRLF behind a chunk
	trailer              // lines behind the last chunk
	dead                 // something bad was found
)

// Scanner follows one connection. The zero value is ready.
type Scanner struct {
	state    state
	left     int64  // bytes of a body or a chunk to come
	part     []byte // a line's beginning from earlier reads
	first    bool   // the request line is still to come
	old      bool   // HTTP/1.0
	chunked  bool
	lengths  int
	bad      string // found in this head
	requests int
}

// Resting tells whether the last request is over and nothing of the next has come.
func (s *Scanner) Resting() bool { return s.state == start }

// Requests is how many requests have begun.
func (s *Scanner) Requests() int { return s.requests }

// Feed takes the next bytes. It returns how many of them may be handed on: all, or those before something bad, whose
// cause it tells then.
func (s *Scanner) Feed(b []byte) (good int, cause string) {
	for i := 0; i < len(b); {
		switch s.state {
		case dead:
			return i, "after_bad"
		case start:
			if b[i] == '\r' || b[i] == '\n' { // left over by old clients; the server knows
				i++
				continue
			}
			s.state, s.first, s.old, s.chunked, s.lengths, s.left, s.bad = head, true, false, false, 0, 0, ""
			s.requests++
		case length, chunk:
			n := min(int64(len(b)-i), s.left)
			i += int(n)
			if s.left -= n; s.left == 0 {
				if s.state == chunk {
					s.state = ending
				} else {
					s.state = start
				}
			}
		default:
			j := bytes.IndexByte(b[i:], '\n')
			if j < 0 {
				if s.part = append(s.part, b[i:]...); len(s.part) > lineMost {
					return s.end(i, "line_too_long")
				}
				return len(b), ""
			}
			line := b[i : i+j+1]
			if len(s.part) > 0 {
				s.part = append(s.part, line...)
				line = s.part
			}
			bad := s.line(line)
			s.part = s.part[:0]
			if bad != "" {
				return s.end(i, bad)
			}
			i += j + 1
		}
	}
	return len(b), ""
}

func (s *Scanner) end(at int, cause string) (int, string) {
	s.state = dead
	return at, cause
}

// line takes one line with its end. What is bad in a head is told at its end, so that the server has read it by then.
func (s *Scanner) line(l []byte) string {
	crlf := len(l) > 1 && l[len(l)-2] == '\r'
	l = l[:len(l)-1]
	if crlf {
		l = l[:len(l)-1]
	}
	switch s.state {
	case size:
		return s.sized(l, crlf)
	case ending:
		if !crlf || len(l) > 0 {
			return "chunk_end"
		}
		s.state = size
		return ""
	case trailer:
		switch {
		case !crlf:
			return "trailer"
		case len(l) == 0:
			s.state = start
		case l[0] == ' ' || l[0] == '\t' || bytes.IndexByte(l, '\r') >= 0 || bytes.IndexByte(l, ':') <= 0:
			return "trailer"
		}
		return ""
	}
	if len(l) == 0 {
		return s.headed()
	}
	if bytes.IndexByte(l, '\r') >= 0 {
		s.note("bare_cr")
	}
	if s.first {
		s.first = false
		s.old = bytes.HasSuffix(l, []byte(" HTTP/1.0"))
		return ""
	}
	if l[0] == ' ' || l[0] == '\t' {
		s.note("folded_line")
		return ""
	}
	name, value, ok := bytes.Cut(l, []byte{':'})
	if !ok {
		s.note("no_colon")
		return ""
	}
	switch {
	case len(name) == len("Content-Length") && bytes.EqualFold(name, []byte("Content-Length")):
		value = bytes.Trim(value, " \t")
		n, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil || n < 0 || value[0] == '+' || len(value) > lengthMost {
			s.note("length")
		}
		s.left = n
		s.lengths++
	case len(name) == len("Transfer-Encoding") && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		value = bytes.Trim(value, " \t")
		if s.chunked || !bytes.EqualFold(value, []byte("chunked")) {
			s.note("transfer_encoding")
		}
		s.chunked = true
	}
	return ""
}

func (s *Scanner) note(bad string) {
	if s.bad == "" {
		s.bad = bad
	}
}

// headed decides at the end of a head how the body is framed.
func (s *Scanner) headed() string {
	switch {
	case s.bad != "":
	case s.lengths > 1:
		s.bad = "two_lengths"
	case s.chunked && s.lengths > 0:
		s.bad = "length_and_chunks"
	case s.chunked && s.old:
		s.bad = "chunks_in_http10"
	case s.chunked:
		s.state = size
	case s.left > 0:
		s.state = length
	default:
		s.state = start
	}
	return s.bad
}

func (s *Scanner) sized(l []byte, crlf bool) string {
	if !crlf || len(l) > chunkLine {
		return "chunk_size"
	}
	l, _, _ = bytes.Cut(l, []byte{';'})
	l = bytes.TrimRight(l, " \t")
	n, err := strconv.ParseUint(string(l), 16, 62)
	if err != nil || len(l) > 16 || l[0] == '+' || bytes.IndexByte(l, '_') >= 0 {
		return "chunk_size"
	}
	if s.left = int64(n); n == 0 {
		s.state = trailer
	} else {
		s.state = chunk
	}
	return ""
}
