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

// TestReadReservesReceivedBytesOnly guards against clients that reserve memory by announcing long bodies.
func TestReadReservesReceivedBytesOnly(t *testing.T) {
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
		t.Errorf("%d bytes reserved for 4 received bytes", used)
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
		{"known length", bytes.NewReader(long), int64(len(long)), 1 << 20, long, nil},
		{"unknown length", bytes.NewReader(long), -1, 1 << 20, long, nil},
		{"unknown length, exactly at the limit", bytes.NewReader(long), -1, int64(len(long)), long, nil},
		{"byte by byte", iotest.OneByteReader(strings.NewReader("abc")), -1, 10, []byte("abc"), nil},
		{"empty", strings.NewReader(""), -1, 0, []byte{}, nil},
		{"known length, over the limit", bytes.NewReader(long), int64(len(long)), 100, nil, func(err error) bool { return errors.As(err, &tooLarge) }},
		{"unknown length, one byte over the limit", bytes.NewReader(long), -1, int64(len(long)) - 1, nil, func(err error) bool { return errors.As(err, &tooLarge) }},
		{"known length, truncated", bytes.NewReader(long[:100]), 200, 1000, nil, func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
		{"unknown length, read error", iotest.TimeoutReader(iotest.OneByteReader(bytes.NewReader(long))), -1, 1000, nil, func(err error) bool { return errors.Is(err, iotest.ErrTimeout) }},
	} {
		budget := New(1 << 20)
		body, err := budget.Read(test.body, test.length, test.limit)
		if test.err == nil && (err != nil || !bytes.Equal(body, test.want)) || test.err != nil && !test.err(err) {
			t.Errorf("%s: %d bytes, %v", test.name, len(body), err)
		}
		if budget.ReleaseBody(body); budget.Used() != 0 {
			t.Errorf("%s: %d bytes still reserved", test.name, budget.Used())
		}
	}
	full := New(chunkBytes + 1)
	body, err := full.Read(bytes.NewReader(long), -1, 1<<20)
	if !errors.Is(err, ErrFull) {
		t.Error(err)
	}
	if full.ReleaseBody(body); full.Used() != 0 {
		t.Error(full.Used(), "bytes still reserved after the budget was exhausted")
	}
}
