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
	maxLineBytes      = 1 << 20 // the server's own limit of heads is far below
	maxChunkLineBytes = 4096    // as net/http's
	maxLengthDigits   = 18      // digits
)

type state uint8

const (
	requestStart state = iota // of a request; nothing of it is there
	head                      // its lines
	fixedBody                 // a body of known length
	chunkSize                 // the line before a chunk
	chunkData                 // a chunk's bytes
	chunkEnd                  // the CRLF behind a chunk
	trailer                   // lines behind the last chunk
	failed                    // something bad was found
)

// Scanner follows one connection. The zero value is ready.
type Scanner struct {
	state          state
	remaining      int64  // bytes of a body or a chunk to come
	partialLine    []byte // a line's beginning from earlier reads
	atRequestLine  bool   // the request line is still to come
	http10         bool   // HTTP/1.0
	chunked        bool
	contentLengths int
	headViolation  string // found in this head
	requests       int
}

// Idle tells whether the last request is over and nothing of the next has come.
func (s *Scanner) Idle() bool { return s.state == requestStart }

// Requests is how many requests have begun.
func (s *Scanner) Requests() int { return s.requests }

// Feed takes the next bytes. It returns how many of them may be handed on: all, or those before something bad, whose
// cause it tells then.
func (s *Scanner) Feed(b []byte) (good int, cause string) {
	for i := 0; i < len(b); {
		switch s.state {
		case failed:
			return i, "after_bad"
		case requestStart:
			if b[i] == '\r' || b[i] == '\n' { // left over by old clients; the server knows
				i++
				continue
			}
			s.state, s.atRequestLine, s.http10, s.chunked, s.contentLengths, s.remaining, s.headViolation = head, true, false, false, 0, 0, ""
			s.requests++
		case fixedBody, chunkData:
			n := min(int64(len(b)-i), s.remaining)
			i += int(n)
			if s.remaining -= n; s.remaining == 0 {
				if s.state == chunkData {
					s.state = chunkEnd
				} else {
					s.state = requestStart
				}
			}
		default:
			j := bytes.IndexByte(b[i:], '\n')
			if j < 0 {
				if s.partialLine = append(s.partialLine, b[i:]...); len(s.partialLine) > maxLineBytes {
					return s.fail(i, "line_too_long")
				}
				return len(b), ""
			}
			line := b[i : i+j+1]
			if len(s.partialLine) > 0 {
				s.partialLine = append(s.partialLine, line...)
				line = s.partialLine
			}
			bad := s.scanLine(line)
			s.partialLine = s.partialLine[:0]
			if bad != "" {
				return s.fail(i, bad)
			}
			i += j + 1
		}
	}
	return len(b), ""
}

func (s *Scanner) fail(at int, cause string) (int, string) {
	s.state = failed
	return at, cause
}

// scanLine takes one line with its end. What is bad in a head is told at its end, so that the server has read it by then.
func (s *Scanner) scanLine(l []byte) string {
	crlf := len(l) > 1 && l[len(l)-2] == '\r'
	l = l[:len(l)-1]
	if crlf {
		l = l[:len(l)-1]
	}
	switch s.state {
	case chunkSize:
		return s.scanChunkSize(l, crlf)
	case chunkEnd:
		if !crlf || len(l) > 0 {
			return "chunk_end"
		}
		s.state = chunkSize
		return ""
	case trailer:
		switch {
		case !crlf:
			return "trailer"
		case len(l) == 0:
			s.state = requestStart
		case l[0] == ' ' || l[0] == '\t' || bytes.IndexByte(l, '\r') >= 0 || bytes.IndexByte(l, ':') <= 0:
			return "trailer"
		}
		return ""
	}
	if len(l) == 0 {
		return s.endHead()
	}
	if bytes.IndexByte(l, '\r') >= 0 {
		s.recordViolation("bare_cr")
	}
	if s.atRequestLine {
		s.atRequestLine = false
		s.http10 = bytes.HasSuffix(l, []byte(" HTTP/1.0"))
		return ""
	}
	if l[0] == ' ' || l[0] == '\t' {
		s.recordViolation("folded_line")
		return ""
	}
	name, value, ok := bytes.Cut(l, []byte{':'})
	if !ok {
		s.recordViolation("no_colon")
		return ""
	}
	switch {
	case len(name) == len("Content-Length") && bytes.EqualFold(name, []byte("Content-Length")):
		value = bytes.Trim(value, " \t")
		n, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil || n < 0 || value[0] == '+' || len(value) > maxLengthDigits {
			s.recordViolation("length")
		}
		s.remaining = n
		s.contentLengths++
	case len(name) == len("Transfer-Encoding") && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		value = bytes.Trim(value, " \t")
		if s.chunked || !bytes.EqualFold(value, []byte("chunked")) {
			s.recordViolation("transfer_encoding")
		}
		s.chunked = true
	}
	return ""
}

func (s *Scanner) recordViolation(bad string) {
	if s.headViolation == "" {
		s.headViolation = bad
	}
}

// endHead decides at the end of a head how the body is framed.
func (s *Scanner) endHead() string {
	switch {
	case s.headViolation != "":
	case s.contentLengths > 1:
		s.headViolation = "two_lengths"
	case s.chunked && s.contentLengths > 0:
		s.headViolation = "length_and_chunks"
	case s.chunked && s.http10:
		s.headViolation = "chunks_in_http10"
	case s.chunked:
		s.state = chunkSize
	case s.remaining > 0:
		s.state = fixedBody
	default:
		s.state = requestStart
	}
	return s.headViolation
}

func (s *Scanner) scanChunkSize(l []byte, crlf bool) string {
	if !crlf || len(l) > maxChunkLineBytes {
		return "chunk_size"
	}
	l, _, _ = bytes.Cut(l, []byte{';'})
	l = bytes.TrimRight(l, " \t")
	n, err := strconv.ParseUint(string(l), 16, 62)
	if err != nil || len(l) > 16 || l[0] == '+' || bytes.IndexByte(l, '_') >= 0 {
		return "chunk_size"
	}
	if s.remaining = int64(n); n == 0 {
		s.state = trailer
	} else {
		s.state = chunkData
	}
	return ""
}
