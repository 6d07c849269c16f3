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

// TestReadFrameAllocatesOnlyForReceivedBytes guards against large allocations for an announced frame size without the data.
func TestReadFrameAllocatesOnlyForReceivedBytes(t *testing.T) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 8 {
		if _, err := ReadFrame(bytes.NewReader([]byte{0, 0x7f, 0xff, 0xff, 1})); err == nil {
			t.Fatal("a truncated frame was accepted")
		}
	}
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 2<<20 {
		t.Errorf("%d bytes were allocated for eight truncated frames", allocated)
	}
	raw, err := EncodeFrame(&Frame{StateUpdate: &messages.StateUpdate{Config: make([]byte, 1<<20)}})
	if err != nil {
		t.Fatal(err)
	}
	if frame, err := ReadFrame(bytes.NewReader(raw)); err != nil || len(frame.StateUpdate.Config) != 1<<20 {
		t.Fatal("reading a frame of 1 MiB:", err)
	}
	if _, err := ReadFrame(bytes.NewReader(raw[:len(raw)-1])); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatal("reading a truncated frame:", err)
	}
}

func TestReadFrameErrors(t *testing.T) {
	for _, test := range []struct {
		name string
		raw  []byte
		want error
	}{
		{"end between frames", nil, io.EOF},
		{"end within the size", []byte{0, 0}, io.ErrUnexpectedEOF},
		{"too large", []byte{0x7f, 0xff, 0xff, 0xff}, ErrFrameTooLarge},
	} {
		if _, err := ReadFrame(bytes.NewReader(test.raw)); !errors.Is(err, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, err, test.want)
		}
	}
}

// TestReadHelloLimitsFrameSize guards against large allocations for a connection whose sender has not identified itself.
func TestReadHelloLimitsFrameSize(t *testing.T) {
	for _, test := range []struct {
		name  string
		frame Frame
		want  error
	}{
		{"hello", Frame{Hello: &messages.Hello{Gateway: "g", Member: fleet.Member{Zone: "a"}}}, nil},
		{"oversized first frame", Frame{Hello: &messages.Hello{}, StateUpdate: &messages.StateUpdate{Config: make([]byte, maxHelloSize)}}, ErrFrameTooLarge},
		{"first frame without a hello", Frame{}, ErrNoHello},
	} {
		raw, err := EncodeFrame(&test.frame)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ReadHello(bytes.NewReader(raw)); !errors.Is(err, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, err, test.want)
		}
	}
}

// FuzzReadFrame checks that arbitrary input results in an error or in a frame that can be encoded and decoded again.
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
			t.Fatalf("encoding a decoded frame: %v", err)
		}
		if _, err := ReadFrame(bytes.NewReader(encoded)); err != nil {
			t.Fatalf("decoding a re-encoded frame: %v", err)
		}
	})
}
