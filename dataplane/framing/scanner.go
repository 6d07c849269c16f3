// Package framing scans the bytes of a client connection for HTTP/1 requests with ambiguous framing. Two parsers may disagree
// on where such a request ends, which enables request smuggling. The package performs no I/O.
//
// RFC 9112 requires a server to close the connection after some of these requests and allows it to reject the others. net/http
// silently accepts Content-Length together with chunked encoding, repeated Content-Length fields, chunked encoding in HTTP/1.0,
// folded lines and bare CRs. The scanner rejects them before net/http reads the request.
package framing

import (
	"bytes"
	"strconv"
)

// InvalidInput is passed to net/http in place of rejected bytes. At any position in a head, in chunks or in trailers, it makes
// net/http fail the request, respond with 400 and close the connection.
const InvalidInput = "\x00\r\n\r\n"

const (
	maxLineBytes      = 1 << 20 // far above the server's limit on the size of a head
	maxChunkLineBytes = 4096    // same as in net/http
	maxLengthDigits   = 18      // digits of a Content-Length
	maxChunkDigits    = 16      // digits of a chunk size
	chunkSizeBits     = 62
)

// Violation is the reason why a request is rejected, as written to logs.
type Violation string

// The values of Violation.
const (
	LineTooLong      Violation = "line_too_long"
	BareCR           Violation = "bare_cr"           // a CR within a header line
	FoldedLine       Violation = "folded_line"       // a header field continued on the next line
	NoColon          Violation = "no_colon"          // a header line without a colon
	InvalidLength    Violation = "length"            // a Content-Length that is not a valid number
	TwoLengths       Violation = "two_lengths"       // more than one Content-Length
	LengthAndChunks  Violation = "length_and_chunks" // both Content-Length and Transfer-Encoding
	TransferEncoding Violation = "transfer_encoding" // a coding other than chunked, or more than one coding
	ChunksInHTTP10   Violation = "chunks_in_http10"
	InvalidChunkSize Violation = "chunk_size"
	InvalidChunkEnd  Violation = "chunk_end"
	InvalidTrailer   Violation = "trailer"
	AfterViolation   Violation = "after_bad" // data after an earlier violation
	noViolation      Violation = ""
)

const (
	contentLength    = "Content-Length"
	transferEncoding = "Transfer-Encoding"
	chunkedCoding    = "chunked"
	http10Suffix     = " HTTP/1.0"
	optionalSpace    = " \t"
)

// state is the part of the message that the next byte belongs to.
type state uint8

const (
	requestStart state = iota // between requests
	head                      // request line and header fields
	fixedBody                 // body with a Content-Length
	chunkSize                 // line with a chunk's size
	chunkData                 // data of a chunk
	chunkEnd                  // CRLF after a chunk's data
	trailer                   // trailer fields
	failed                    // a violation was found
)

// Scanner scans the requests of one connection. The zero value is ready to use.
type Scanner struct {
	state       state
	remaining   int64  // remaining bytes of the body or chunk
	partialLine []byte // start of the current line, from earlier calls
	requests    int

	// State of the current head.
	atRequestLine  bool // the request line has not been read yet
	http10         bool
	chunked        bool
	contentLengths int
	violation      Violation
}

// Idle reports whether the connection is between requests.
func (s *Scanner) Idle() bool { return s.state == requestStart }

// Requests returns the number of requests that have started.
func (s *Scanner) Requests() int { return s.requests }

// Feed scans the next bytes of the connection. It returns the number of bytes that may be passed on, which is less than len(b)
// if it finds a violation.
func (s *Scanner) Feed(b []byte) (accepted int, violation Violation) {
	for i := 0; i < len(b); {
		switch s.state {
		case failed:
			return i, AfterViolation
		case requestStart:
			if b[i] == '\r' || b[i] == '\n' { // empty lines before a request are allowed and skipped by net/http
				i++
				continue
			}
			s.beginRequest()
		case fixedBody, chunkData:
			i += s.skipBody(len(b) - i)
		default:
			n, violation := s.feedLine(b[i:])
			if violation != noViolation {
				s.state = failed
				return i, violation
			}
			i += n
		}
	}
	return len(b), noViolation
}

func (s *Scanner) beginRequest() {
	s.state, s.atRequestLine = head, true
	s.http10, s.chunked, s.contentLengths, s.remaining, s.violation = false, false, 0, 0, noViolation
	s.requests++
}

// skipBody consumes up to n bytes of the body or chunk and returns the number consumed.
func (s *Scanner) skipBody(n int) int {
	skipped := min(int64(n), s.remaining)
	s.remaining -= skipped
	if s.remaining == 0 {
		if s.state == chunkData {
			s.state = chunkEnd
		} else {
			s.state = requestStart
		}
	}
	return int(skipped)
}

// feedLine consumes bytes up to the end of the line, or all bytes if the line is incomplete, and returns the number consumed.
func (s *Scanner) feedLine(b []byte) (n int, violation Violation) {
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		if s.partialLine = append(s.partialLine, b...); len(s.partialLine) > maxLineBytes {
			return 0, LineTooLong
		}
		return len(b), noViolation
	}
	line := b[:end+1]
	if len(s.partialLine) > 0 {
		s.partialLine = append(s.partialLine, line...)
		line = s.partialLine
	}
	violation = s.scanLine(line)
	s.partialLine = s.partialLine[:0]
	return end + 1, violation
}

// scanLine scans one line including its line ending. A violation within a head is returned only at the end of the head, so
// that the server has read the whole head by then.
func (s *Scanner) scanLine(line []byte) Violation {
	crlf := len(line) > 1 && line[len(line)-2] == '\r'
	line = line[:len(line)-1]
	if crlf {
		line = line[:len(line)-1]
	}
	switch s.state {
	case chunkSize:
		return s.scanChunkSize(line, crlf)
	case chunkEnd:
		if !crlf || len(line) > 0 {
			return InvalidChunkEnd
		}
		s.state = chunkSize
		return noViolation
	case trailer:
		return s.scanTrailer(line, crlf)
	}
	if len(line) == 0 {
		return s.endHead()
	}
	s.scanHeadLine(line)
	return noViolation
}

func (s *Scanner) scanHeadLine(line []byte) {
	if bytes.IndexByte(line, '\r') >= 0 {
		s.recordViolation(BareCR)
	}
	if s.atRequestLine {
		s.atRequestLine = false
		s.http10 = bytes.HasSuffix(line, []byte(http10Suffix))
		return
	}
	if line[0] == ' ' || line[0] == '\t' {
		s.recordViolation(FoldedLine)
		return
	}
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok {
		s.recordViolation(NoColon)
		return
	}
	switch {
	case len(name) == len(contentLength) && bytes.EqualFold(name, []byte(contentLength)):
		s.scanContentLength(bytes.Trim(value, optionalSpace))
	case len(name) == len(transferEncoding) && bytes.EqualFold(name, []byte(transferEncoding)):
		if s.chunked || !bytes.EqualFold(bytes.Trim(value, optionalSpace), []byte(chunkedCoding)) {
			s.recordViolation(TransferEncoding)
		}
		s.chunked = true
	}
}

func (s *Scanner) scanContentLength(value []byte) {
	length, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil || length < 0 || value[0] == '+' || len(value) > maxLengthDigits {
		s.recordViolation(InvalidLength)
	}
	s.remaining = length
	s.contentLengths++
}

// recordViolation records the first violation in a head.
func (s *Scanner) recordViolation(violation Violation) {
	if s.violation == noViolation {
		s.violation = violation
	}
}

// endHead determines the framing of the body from the complete head.
func (s *Scanner) endHead() Violation {
	switch {
	case s.violation != noViolation:
	case s.contentLengths > 1:
		s.violation = TwoLengths
	case s.chunked && s.contentLengths > 0:
		s.violation = LengthAndChunks
	case s.chunked && s.http10:
		s.violation = ChunksInHTTP10
	case s.chunked:
		s.state = chunkSize
	case s.remaining > 0:
		s.state = fixedBody
	default:
		s.state = requestStart
	}
	return s.violation
}

func (s *Scanner) scanChunkSize(line []byte, crlf bool) Violation {
	if !crlf || len(line) > maxChunkLineBytes {
		return InvalidChunkSize
	}
	line, _, _ = bytes.Cut(line, []byte{';'})
	line = bytes.TrimRight(line, optionalSpace)
	size, err := strconv.ParseUint(string(line), 16, chunkSizeBits)
	if err != nil || len(line) > maxChunkDigits || line[0] == '+' || bytes.IndexByte(line, '_') >= 0 {
		return InvalidChunkSize
	}
	s.remaining = int64(size)
	s.state = chunkData
	if size == 0 {
		s.state = trailer
	}
	return noViolation
}

func (s *Scanner) scanTrailer(line []byte, crlf bool) Violation {
	switch {
	case !crlf:
		return InvalidTrailer
	case len(line) == 0:
		s.state = requestStart
	case line[0] == ' ' || line[0] == '\t' || bytes.IndexByte(line, '\r') >= 0 || bytes.IndexByte(line, ':') <= 0:
		return InvalidTrailer
	}
	return noViolation
}
