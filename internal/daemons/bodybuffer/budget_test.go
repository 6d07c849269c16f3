package bodybuffer

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

// TestReadHoldsWhatHasCome guards memory against callers that announce long bodies and send little of them.
func TestReadHoldsWhatHasCome(t *testing.T) {
	budget := New(1 << 20)
	reader, writer := io.Pipe()
	done := make(chan error, 1)
	go func() {
		body, err := budget.Read(reader, 1<<30, 1<<30)
		budget.ReleaseBody(body)
		done <- err
	}()
	if _, err := writer.Write([]byte("some")); err != nil {
		t.Fatal(err)
	}
	if used := budget.Used(); used > chunkBytes {
		t.Errorf("4 bytes of a long body hold %d", used)
	}
	if _, err := writer.Write(make([]byte, chunkBytes)); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-done; !errors.Is(err, io.ErrUnexpectedEOF) || budget.Used() != 0 {
		t.Error(err, budget.Used())
	}
}

func TestRead(t *testing.T) {
	long := bytes.Repeat([]byte("0123456789abcdef"), 5000)
	var tooLarge *http.MaxBytesError
	for _, test := range []struct {
		name          string
		body          io.Reader
		length, limit int64
		want          []byte
		err           func(error) bool
	}{
		{"known", bytes.NewReader(long), int64(len(long)), 1 << 20, long, nil},
		{"unknown", bytes.NewReader(long), -1, 1 << 20, long, nil},
		{"unknown, as long as allowed", bytes.NewReader(long), -1, int64(len(long)), long, nil},
		{"byte by byte", iotest.OneByteReader(strings.NewReader("abc")), -1, 10, []byte("abc"), nil},
		{"empty", strings.NewReader(""), -1, 0, []byte{}, nil},
		{"known, too long", bytes.NewReader(long), int64(len(long)), 100, nil, func(err error) bool { return errors.As(err, &tooLarge) }},
		{"unknown, too long by one", bytes.NewReader(long), -1, int64(len(long)) - 1, nil, func(err error) bool { return errors.As(err, &tooLarge) }},
		{"known, cut", bytes.NewReader(long[:100]), 200, 1000, nil, func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
		{"unknown, cut", iotest.TimeoutReader(iotest.OneByteReader(bytes.NewReader(long))), -1, 1000, nil, func(err error) bool { return errors.Is(err, iotest.ErrTimeout) }},
	} {
		budget := New(1 << 20)
		body, err := budget.Read(test.body, test.length, test.limit)
		if test.err == nil && (err != nil || !bytes.Equal(body, test.want)) || test.err != nil && !test.err(err) {
			t.Errorf("%s: %d bytes, %v", test.name, len(body), err)
		}
		if budget.ReleaseBody(body); budget.Used() != 0 {
			t.Errorf("%s: %d bytes stay reserved", test.name, budget.Used())
		}
	}
	full := New(chunkBytes + 1)
	body, err := full.Read(bytes.NewReader(long), -1, 1<<20)
	if !errors.Is(err, ErrFull) {
		t.Error(err)
	}
	if full.ReleaseBody(body); full.Used() != 0 {
		t.Error(full.Used(), "bytes stay reserved after the budget was full")
	}
}
