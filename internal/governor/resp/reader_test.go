package resp

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
)

// TestRoundTrip checks that the reader returns what Append has written, however the input is split.
func TestRoundTrip(t *testing.T) {
	want := [][]string{{"hb"}, {}, {"a", "", "two\r\nlines", strings.Repeat("x", 3*readChunkBytes)}}
	var b []byte
	for _, elements := range want {
		b = Append(b, elements...)
	}
	for name, in := range map[string]io.Reader{
		"at once": strings.NewReader(string(b)), "byte by byte": iotest.OneByteReader(strings.NewReader(string(b))),
	} {
		r := NewReader(in, 4*readChunkBytes, 4)
		var got [][]string
		for {
			elements, err := r.NextStrings()
			if errors.Is(err, io.EOF) {
				break
			} else if err != nil {
				t.Fatal(name, err)
			}
			got = append(got, elements)
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Error(name, d)
		}
	}
}

// TestInvalidInput checks the errors for invalid framing, exceeded limits and truncated messages.
func TestInvalidInput(t *testing.T) {
	for in, want := range map[string]string{
		"PING\r\n": `'P' where '*' is due`, "*9\r\n": "followed by 9, more than 4", "*-1\r\n": "not followed by a number",
		"*1\r\n$-1\r\n": "not followed by a number", "*\r\n": "not followed by a number", "*1\n": "not followed by a number",
		"*00000000000000000000001\r\n": "not followed by a number", "*1\r\n:5\r\n": `':' where '$' is due`,
		"*1\r\n$65\r\n": "more than", "*1\r\n$2\r\nabc\r\n": "a bulk string without its terminator", "*1\r\n$2\r\nab": "unexpected EOF",
		"*2\r\n$40\r\n" + strings.Repeat("x", 40) + "\r\n$40\r\n": "more than", "*1": "unexpected EOF", "*1\r\n": "unexpected EOF",
	} {
		got, err := NewReader(strings.NewReader(in), 64, 4).Next()
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: want an error with %q, got %q, %v", in, want, got, err)
		}
		if errors.Is(err, io.EOF) {
			t.Errorf("%q: truncation inside a message is reported as io.EOF", in)
		}
	}
}

// FuzzReader checks that a message that was read is equal after writing and reading it again.
func FuzzReader(f *testing.F) {
	f.Add("*1\r\n$2\r\nhb\r\n*0\r\n")
	f.Add("*1\r\n$1048577\r\n")
	f.Add("*+1\r\n$01\r\nx\r\n")
	f.Fuzz(func(t *testing.T, in string) {
		r := NewReader(strings.NewReader(in), 1<<10, 8)
		for {
			elements, err := r.NextStrings()
			if err != nil {
				return
			}
			again, err := NewReader(strings.NewReader(string(Append(nil, elements...))), 1<<10, 8).NextStrings()
			if d := cmp.Diff(elements, again); d != "" || err != nil {
				t.Fatal(d, err)
			}
		}
	})
}
