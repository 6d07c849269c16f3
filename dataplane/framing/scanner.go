// Package framing follows the bytes of a client's connection and finds requests whose framing is ambiguous: two readers
// could take them for different requests, which is what request smuggling needs. It is free of I/O.
//
// net/http takes some of these and mends them in silence (RFC 9112 has a server close the connection after them, or allows
// to refuse them): a length beside chunks, a length given twice, chunks in HTTP/1.0, folded lines, a bare CR. Here they are
// refused before anything of them is read as a request.
package framing

import (
	"bytes"
	"strconv"
)

// InvalidInput is handed on in place of what was found bad. Wherever it stands in a head, in chunks or in trailers, net/http takes
// it for an error of that request, answers 400 in its turn and closes the connection.
const InvalidInput = "\x00\r\n\r\n"

const (
	maxLineBytes      = 1 << 20 // the server's own limit of heads is far below
	maxChunkLineBytes = 4096    // as net/http's
	maxLengthDigits   = 18      // of a Content-Length
	maxChunkDigits    = 16
	chunkSizeBits     = 62
)

// Violation says what was found bad. It is a key of logs.
type Violation string

// The violations; the empty one is none.
const (
	LineTooLong      Violation = "line_too_long"
	BareCR           Violation = "bare_cr"           // a CR within a line of a head
	FoldedLine       Violation = "folded_line"       // a header field continued on the next line
	NoColon          Violation = "no_colon"          // a header line that is no field
	InvalidLength    Violation = "length"            // a Content-Length that is no number
	TwoLengths       Violation = "two_lengths"       // more than one Content-Length
	LengthAndChunks  Violation = "length_and_chunks" // Content-Length beside Transfer-Encoding
	TransferEncoding Violation = "transfer_encoding" // any but chunked, or more than one
	ChunksInHTTP10   Violation = "chunks_in_http10"
	InvalidChunkSize Violation = "chunk_size"
	InvalidChunkEnd  Violation = "chunk_end"
	InvalidTrailer   Violation = "trailer"
	AfterViolation   Violation = "after_bad" // anything behind another violation
	noViolation      Violation = ""
)

const (
	contentLength    = "Content-Length"
	transferEncoding = "Transfer-Encoding"
	chunkedCoding    = "chunked"
	http10Suffix     = " HTTP/1.0"
	optionalSpace    = " \t"
)

// state is what the next byte belongs to.
type state uint8

const (
	requestStart state = iota // nothing of the next request is there
	head                      // the lines of a request's head
	fixedBody                 // a body of known length
	chunkSize                 // the line before a chunk
	chunkData                 // a chunk's bytes
	chunkEnd                  // the CRLF behind a chunk
	trailer                   // the lines behind the last chunk
	failed                    // something bad was found
)

// Scanner follows one connection. The zero value is ready.
type Scanner struct {
	state       state
	remaining   int64  // bytes of a body or a chunk to come
	partialLine []byte // a line's beginning, from earlier calls
	requests    int

	// Of the head at hand.
	atRequestLine  bool // its first line is still to come
	http10         bool
	chunked        bool
	contentLengths int
	violation      Violation
}

// Idle tells whether the last request is over and nothing of the next one has come.
func (s *Scanner) Idle() bool { return s.state == requestStart }

// Requests returns how many requests have begun.
func (s *Scanner) Requests() int { return s.requests }

// Feed takes the next bytes. It returns how many of them may be handed on: all, or those before something bad, whose
// violation it returns then.
func (s *Scanner) Feed(b []byte) (good int, violation Violation) {
	for i := 0; i < len(b); {
		switch s.state {
		case failed:
			return i, AfterViolation
		case requestStart:
			if b[i] == '\r' || b[i] == '\n' { // left over by old clients; net/http skips it too
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

// skipBody takes what is there of a body or a chunk, n bytes at most, and returns how many that were.
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

// feedLine takes bytes up to the end of a line, or all where that has not come, and returns how many that were.
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

// scanLine takes one line with its end. A violation in a head is returned at the end of that head only, so that the server
// has read the head by then.
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

// recordViolation keeps the first violation of a head.
func (s *Scanner) recordViolation(violation Violation) {
	if s.violation == noViolation {
		s.violation = violation
	}
}

// endHead decides at the end of a head how the body is framed.
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
