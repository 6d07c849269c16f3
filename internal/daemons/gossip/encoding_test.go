package gossip

import (
	"bytes"
	"encoding/hex"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"zincloft.example/zincloft/peersampling"
)

// TestDatagramEncoding guards against an incompatible change of the datagram encoding. The file under testdata was written by an
// earlier version; see package compatibility.
func TestDatagramEncoding(t *testing.T) {
	sent := datagram{Reply: true, Descriptors: []peersampling.Descriptor{
		{Addr: "10.0.0.1:7001", Role: 1, Zone: "a", Age: 3},
		{Addr: "10.0.0.2:7001", Role: 2, Zone: "b", Age: 5}}}
	text, err := os.ReadFile("testdata/datagram.hex")
	if err != nil {
		t.Fatal(err)
	}
	want, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	got, err := cbor.Marshal(sent)
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("encoded as %x, %v, want %x", got, err, want)
	}
	var read datagram
	if err := cbor.Unmarshal(want, &read); err != nil || !reflect.DeepEqual(read, sent) {
		t.Errorf("decoded as %+v, %v, want %+v", read, err, sent)
	}
}
