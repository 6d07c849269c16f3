package scalerun

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"

	"zincloft.example/zincloft/messages"
)

const (
	lengthPrefixSize = 4 // bytes before each frame

	// maxListLength bounds decoded lists and maps, as internal/peertransport does.
	maxListLength = 1 << 20
)

// stateFrame is what is looked at in a state update; the rest stays encoded. Its keys are those of messages.StateUpdate.
type stateFrame struct {
	Full          bool            `cbor:"1,keyasint"`
	Version       uint64          `cbor:"3,keyasint"`
	Configuration cbor.RawMessage `cbor:"4,keyasint"`
	Instances     cbor.RawMessage `cbor:"6,keyasint"`
	Weights       cbor.RawMessage `cbor:"7,keyasint"`
	WarmupQuotas  cbor.RawMessage `cbor:"10,keyasint"`
	Members       cbor.RawMessage `cbor:"8,keyasint"`
}

// peerFrame is a frame of which only the state update is looked at.
type peerFrame struct {
	State *stateFrame `cbor:"4,keyasint"`
}

// fullFrame is a frame whose state update is decoded completely.
type fullFrame struct {
	State *messages.StateUpdate `cbor:"4,keyasint"`
}

// snapshotDecoding decodes full states.
var snapshotDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxListLength, MaxMapPairs: maxListLength}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// readFrame reads a frame without its length prefix.
func readFrame(in io.Reader) ([]byte, error) {
	var prefix [lengthPrefixSize]byte
	if _, err := io.ReadFull(in, prefix[:]); err != nil {
		return nil, err
	}
	body := make([]byte, binary.BigEndian.Uint32(prefix[:]))
	_, err := io.ReadFull(in, body)
	return body, err
}

// countParts counts a state update's frame of a size, by its parts.
func (s *stateFrame) countParts(counts *TrafficCounts, frameSize int) {
	extent := "changed "
	if s.Full {
		extent = "full "
	}
	rest := frameSize
	for _, part := range []struct {
		kind    string
		encoded cbor.RawMessage
	}{
		{"configuration", s.Configuration},
		{extent + "instances", s.Instances},
		{extent + "weights", s.Weights},
		{"warm-up quotas", s.WarmupQuotas},
		{"members", s.Members},
	} {
		if len(part.encoded) > 0 {
			counts.add(part.kind, len(part.encoded))
			rest -= len(part.encoded)
		}
	}
	counts.add("state", rest)
}
