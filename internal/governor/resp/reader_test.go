package resp

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
)

func TestReadsWhatItWrites(t *testing.T) {
	want := [][]string{{"hb"}, {}, {"a", "", "two\r\nlines", strings.Repeat("x", 3*readChunkBytes)}}
	var b []byte
	for _, words := range want {
		b = Append(b, words...)
	}
	for name, in := range map[string]io.Reader{
		"at once": strings.NewReader(string(b)), "byte by byte": iotest.OneByteReader(strings.NewReader(string(b))),
	} {
		r := NewReader(in, 4*readChunkBytes, 4)
		var got [][]string
		for {
			words, err := r.NextStrings()
			if errors.Is(err, io.EOF) {
				break
			} else if err != nil {
				t.Fatal(name, err)
			}
			got = append(got, words)
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Error(name, d)
		}
	}
}

func TestRefuses(t *testing.T) {
	for in, want := range map[string]string{
		"PING\r\n": `'P' where '*' is due`, "*9\r\n": "followed by 9, more than 4", "*-1\r\n": "not followed by a number",
		"*1\r\n$-1\r\n": "not followed by a number", "*\r\n": "not followed by a number", "*1\n": "not followed by a number",
		"*00000000000000000000001\r\n": "not followed by a number", "*1\r\n:5\r\n": `':' where '$' is due`,
		"*1\r\n$65\r\n": "more than", "*1\r\n$2\r\nabc\r\n": "a word without its end", "*1\r\n$2\r\nab": "unexpected EOF",
		"*2\r\n$40\r\n" + strings.Repeat("x", 40) + "\r\n$40\r\n": "more than", "*1": "unexpected EOF", "*1\r\n": "unexpected EOF",
	} {
		got, err := NewReader(strings.NewReader(in), 64, 4).Next()
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: want an error with %q, got %q, %v", in, want, got, err)
		}
		if errors.Is(err, io.EOF) {
			t.Errorf("%q: a cut inside a message reads as an end between two", in)
		}
	}
}

// FuzzReader checks that whatever is read as a message is one: written again, it reads the same.
func FuzzReader(f *testing.F) {
	f.Add("*1\r\n$2\r\nhb\r\n*0\r\n")
	f.Add("*1\r\n$1048577\r\n")
	f.Add("*+1\r\n$01\r\nx\r\n")
	f.Fuzz(func(t *testing.T, in string) {
		r := NewReader(strings.NewReader(in), 1<<10, 8)
		for {
			words, err := r.NextStrings()
			if err != nil {
				return
			}
			again, err := NewReader(strings.NewReader(string(Append(nil, words...))), 1<<10, 8).NextStrings()
			if d := cmp.Diff(words, again); d != "" || err != nil {
				t.Fatal(d, err)
			}
		}
	})
}
