// Package resp reads and writes messages in the RESP2 framing: arrays of bulk strings, with limits.
package resp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
)

// Reader reads messages. Memory grows with the bytes that came, not with those that were announced.
type Reader struct {
	Limit int // bytes of a message
	Words int // words of a message
	r     *bufio.Reader
	left  int
	text  []byte // of the message read last
	words [][]byte
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader, limit, words int) *Reader {
	return &Reader{Limit: limit, Words: words, r: bufio.NewReaderSize(r, buffer)}
}

// Broken tells that what came is no message: it can't be said where the next one begins.
type Broken string

func (e Broken) Error() string { return string(e) }

func broken(format string, a ...any) error { return Broken(fmt.Sprintf(format, a...)) }

const (
	chunk  = 4 << 10
	buffer = 1 << 10 // thousands of streams are open at once, and most of their messages are short
	keep   = 8 << 10 // of a message's memory, for the next one
)

// Next reads one message, whose words hold until the next call. It returns io.EOF only where the input ends between
// messages.
func (r *Reader) Next() ([][]byte, error) {
	if cap(r.text) > keep {
		r.text = nil
	}
	r.left, r.text, r.words = r.Limit, r.text[:0], r.words[:0]
	n, err := r.head('*', r.Words)
	if err != nil {
		return nil, err
	}
	var ends [64]int
	at := ends[:0]
	for range n {
		if err = r.word(); err != nil {
			return nil, inside(err)
		}
		at = append(at, len(r.text))
	}
	from := 0
	for _, to := range at { // the text has its place for good only now
		r.words = append(r.words, r.text[from:to:to])
		from = to
	}
	return r.words, nil
}

// Texts is Next for those who keep the words.
func (r *Reader) Texts() ([]string, error) {
	words, err := r.Next()
	if err != nil {
		return nil, err
	}
	texts := make([]string, len(words))
	for i, w := range words {
		texts[i] = string(w)
	}
	return texts, nil
}

// Size is how many bytes the message read last had.
func (r *Reader) Size() int { return r.Limit - r.left }

// inside is what an error means within a message: an end there is a cut.
func inside(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// word adds a word to the message's text.
func (r *Reader) word() error {
	n, err := r.head('$', r.left)
	if err != nil {
		return err
	}
	if r.left -= n + 2; r.left < 0 {
		return broken("a message of more than %d bytes", r.Limit)
	}
	for n > 0 {
		at, most := len(r.text), min(n, chunk)
		r.text = slices.Grow(r.text, most)[:at+most]
		if _, err := io.ReadFull(r.r, r.text[at:]); err != nil {
			return err
		}
		n -= most
	}
	for _, want := range "\r\n" {
		got, err := r.r.ReadByte()
		if err != nil {
			return err
		}
		if got != byte(want) {
			return broken("a word without its end")
		}
	}
	return nil
}

// head reads a line of a mark and a number from 0 to most.
func (r *Reader) head(mark byte, most int) (int, error) {
	var digits [20]byte
	got, err := r.r.ReadByte()
	if err != nil {
		return 0, err
	}
	if got != mark {
		return 0, broken("%q where %q is due", got, mark)
	}
	for i := range digits {
		if digits[i], err = r.r.ReadByte(); err != nil {
			return 0, inside(err)
		}
		if digits[i] != '\n' {
			continue
		}
		if i < 2 || digits[i-1] != '\r' || digits[0] < '0' || digits[0] > '9' {
			break
		}
		n, err := strconv.Atoi(string(digits[:i-1]))
		if err != nil {
			break
		}
		if r.left -= i + 2; n > most || r.left < 0 {
			return 0, broken("%q is followed by %d, more than %d", mark, n, most)
		}
		return n, nil
	}
	return 0, broken("%q is not followed by a number", mark)
}

// Append adds a message of these words to b.
func Append(b []byte, words ...string) []byte {
	b = head(b, '*', len(words))
	for _, w := range words {
		b = append(head(b, '$', len(w)), w...)
		b = append(b, "\r\n"...)
	}
	return b
}

func head(b []byte, mark byte, n int) []byte {
	return append(strconv.AppendInt(append(b, mark), int64(n), 10), "\r\n"...)
}
