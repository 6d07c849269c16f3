package peertransport

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"testing"

	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/messages"
)

// TestReadFrameAllocatesOnlyForReceivedBytes guards memory against a length that nothing follows: whoever reaches the port could
// otherwise claim eight MiB by four bytes.
func TestReadFrameAllocatesOnlyForReceivedBytes(t *testing.T) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 8 {
		if _, err := ReadFrame(bytes.NewReader([]byte{0, 0x7f, 0xff, 0xff, 1})); err == nil {
			t.Fatal("a frame of one byte is accepted")
		}
	}
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 2<<20 {
		t.Errorf("%d bytes are allocated for eight frames that never came", allocated)
	}
	raw, err := EncodeFrame(&Frame{StateUpdate: &messages.StateUpdate{Config: make([]byte, 1<<20)}})
	if err != nil {
		t.Fatal(err)
	}
	if frame, err := ReadFrame(bytes.NewReader(raw)); err != nil || len(frame.StateUpdate.Config) != 1<<20 {
		t.Fatal("a large frame:", err)
	}
	if _, err := ReadFrame(bytes.NewReader(raw[:len(raw)-1])); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatal("a frame that was cut:", err)
	}
}

// TestReadFrameErrors names the error of each way in which a connection can end or go wrong.
func TestReadFrameErrors(t *testing.T) {
	for _, test := range []struct {
		name string
		raw  []byte
		want error
	}{
		{"between two frames", nil, io.EOF},
		{"within the length", []byte{0, 0}, io.ErrUnexpectedEOF},
		{"too large", []byte{0x7f, 0xff, 0xff, 0xff}, ErrFrameTooLarge},
	} {
		if _, err := ReadFrame(bytes.NewReader(test.raw)); !errors.Is(err, test.want) {
			t.Errorf("%s: %v, want %v", test.name, err, test.want)
		}
	}
}

// TestReadHelloIsShort guards memory against callers that nobody knows yet: each could send a frame of 24 MB before it had said who it is.
func TestReadHelloIsShort(t *testing.T) {
	for _, test := range []struct {
		name  string
		frame Frame
		want  error
	}{
		{"a hello", Frame{Hello: &messages.Hello{Gateway: "g", Member: fleet.Member{Zone: "a"}}}, nil},
		{"a long first frame", Frame{Hello: &messages.Hello{}, StateUpdate: &messages.StateUpdate{Config: make([]byte, maxHelloSize)}}, ErrFrameTooLarge},
		{"another first frame", Frame{}, ErrNoHello},
	} {
		raw, err := EncodeFrame(&test.frame)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ReadHello(bytes.NewReader(raw)); !errors.Is(err, test.want) {
			t.Errorf("%s: %v, want %v", test.name, err, test.want)
		}
	}
}

// FuzzReadFrame reads what another process may send: it ends in a frame that can be sent on, or in an error.
func FuzzReadFrame(f *testing.F) {
	for _, frame := range []*Frame{
		{},
		{Hello: &messages.Hello{Gateway: "f", Member: fleet.Member{ID: "d", Addr: "a:1", Zone: "z"}}},
		{StateUpdate: &messages.StateUpdate{Full: true, Sequence: 4, Config: []byte("{}")}},
		{Ejections: []fleet.Ejection{{}}},
	} {
		raw, err := EncodeFrame(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Add([]byte{0, 0x7f, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		frame, err := ReadFrame(bytes.NewReader(raw))
		if err != nil {
			return
		}
		encoded, err := EncodeFrame(frame)
		if err != nil {
			t.Fatalf("a frame was decoded but cannot be encoded: %v", err)
		}
		if _, err := ReadFrame(bytes.NewReader(encoded)); err != nil {
			t.Fatalf("a frame was encoded but cannot be decoded: %v", err)
		}
	})
}
