package peertransport

import (
	"bytes"
	"io"
	"runtime"
	"testing"

	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/dataplane/outlier"
	"zincloft.example/zincloft/messages"
)

// Guards memory against a length that nothing follows: whoever reaches the port could have eight MiB for four bytes.
func TestReadFrameAllocatesOnlyForReceivedBytes(t *testing.T) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 8 {
		if _, err := ReadFrame(bytes.NewReader([]byte{0, 0x7f, 0xff, 0xff, 1})); err == nil {
			t.Fatal("a message of one byte")
		}
	}
	runtime.ReadMemStats(&after)
	if n := after.TotalAlloc - before.TotalAlloc; n > 2<<20 {
		t.Errorf("%d bytes for eight frames that never came", n)
	}
	b, err := EncodeFrame(&Frame{StateUpdate: &messages.StateUpdate{Config: make([]byte, 1<<20)}})
	if err != nil {
		t.Fatal(err)
	}
	if m, err := ReadFrame(bytes.NewReader(b)); err != nil || len(m.StateUpdate.Config) != 1<<20 {
		t.Fatal("a large frame:", err)
	}
	if _, err := ReadFrame(bytes.NewReader(b[:len(b)-1])); err != io.ErrUnexpectedEOF {
		t.Fatal("a frame that was cut:", err)
	}
}

// FuzzReadFrame reads what another governor may send: it ends in a message that can be sent on, or in an error.
func FuzzReadFrame(f *testing.F) {
	for _, m := range []*Frame{{}, {Hello: &messages.Hello{Gateway: "f", Member: membership.Member{ID: "d", Addr: "a:1", Zone: "z"}}}, {StateUpdate: &messages.StateUpdate{Full: true, Sequence: 4, Config: []byte("{}")}}, {Ejections: []outlier.Ejection{{}}}} {
		b, err := EncodeFrame(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte{0, 0x7f, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := ReadFrame(bytes.NewReader(b))
		if err != nil {
			return
		}
		again, err := EncodeFrame(m)
		if err != nil {
			t.Fatalf("read and not to be sent: %v", err)
		}
		if _, err := ReadFrame(bytes.NewReader(again)); err != nil {
			t.Fatalf("sent and not to be read: %v", err)
		}
	})
}
