// Package peertransport carries the typed messages between control-plane members and gateways: frames of CBOR over TCP, each
// preceded by its length as a big-endian 32-bit number of bytes.
//
// Members dial one another and send in one direction only, over a Peer each; a gateway dials one member, and both send over a
// Conn. Messages may be lost with a connection: the protocols above repeat what is needed.
package peertransport

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/controlplane/peermessages"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/messages"
)

const (
	lengthSize      = 4
	maxFrameSize    = 24 << 20 // bytes: a configuration of 16 MB, the largest that is accepted, and what goes with it
	maxHelloSize    = 4 << 10
	initialReadSize = 64 << 10 // bytes that are allocated before any has come
	maxElements     = 1 << 20  // in one array or map of a frame
)

// ErrFrameTooLarge means that a peer announced a frame of more bytes than any message needs.
var ErrFrameTooLarge = errors.New("frame is too large")

// ErrNoHello means that a connection did not begin with a Hello.
var ErrNoHello = errors.New("the first frame is no hello")

// Frame is one unit of transport. The fields that are set say what it carries; an empty one only shows that its sender is alive.
type Frame struct {
	// Hello is the first frame on a connection, from whoever dialed it.
	Hello *messages.Hello `cbor:"1,keyasint,omitempty"`

	// Coordinator, Instances, GatewaySummary and Ejections go from member to member.
	Coordinator *coordinator.Message `cbor:"2,keyasint,omitempty"`
	Instances   []fleet.Instance     `cbor:"3,keyasint,omitempty"`

	// StateUpdate goes from a member to a gateway; LoadReport goes the other way.
	StateUpdate *messages.StateUpdate `cbor:"4,keyasint,omitempty"`
	LoadReport  *messages.LoadReport  `cbor:"5,keyasint,omitempty"`

	GatewaySummary *peermessages.GatewaySummary `cbor:"6,keyasint,omitempty"`
	Ejections      []fleet.Ejection             `cbor:"7,keyasint,omitempty"`

	// PersistRequest goes from member to member beside Instances.
	PersistRequest uint64 `cbor:"8,keyasint,omitempty"`
}

var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// EncodeFrame encodes a frame with its length before it.
func EncodeFrame(frame *Frame) ([]byte, error) {
	body, err := cbor.Marshal(frame)
	if err != nil {
		return nil, fmt.Errorf("encoding a frame: %w", err)
	}
	raw := binary.BigEndian.AppendUint32(make([]byte, 0, lengthSize+len(body)), uint32(len(body)))
	return append(raw, body...), nil
}

// ReadHello reads the first frame of a connection, by whoever dialed it: it is short, as nobody is known to be there yet.
func ReadHello(reader io.Reader) (*messages.Hello, error) {
	frame, err := readFrame(reader, maxHelloSize)
	if err != nil {
		return nil, err
	}
	if frame.Hello == nil {
		return nil, ErrNoHello
	}
	return frame.Hello, nil
}

// ReadFrame reads and decodes one frame. It returns io.EOF if the connection ended between two frames, io.ErrUnexpectedEOF if it
// ended within one, and an error that is ErrFrameTooLarge before it reads one that is too large.
func ReadFrame(reader io.Reader) (*Frame, error) { return readFrame(reader, maxFrameSize) }

func readFrame(reader io.Reader, maxSize uint32) (*Frame, error) {
	body, err := readBody(reader, maxSize)
	if err != nil {
		return nil, err
	}
	frame := &Frame{}
	if err := decodeMode.Unmarshal(body, frame); err != nil {
		return nil, fmt.Errorf("decoding a frame: %w", err)
	}
	return frame, nil
}

// readBody reads a frame's encoded body. Memory is allocated for what has come, not for what the length announces: whoever
// reaches the port could otherwise claim megabytes by four bytes.
func readBody(reader io.Reader, maxSize uint32) ([]byte, error) {
	var length [lengthSize]byte
	if _, err := io.ReadFull(reader, length[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxSize {
		return nil, fmt.Errorf("%w: %d bytes", ErrFrameTooLarge, size)
	}
	body := make([]byte, min(size, initialReadSize))
	if _, err := io.ReadFull(reader, body); err != nil {
		return nil, err
	}
	missing := int(size) - len(body)
	if missing == 0 {
		return body, nil
	}
	rest, err := io.ReadAll(io.LimitReader(reader, int64(missing)))
	if err != nil {
		return nil, err
	}
	if len(rest) < missing {
		return nil, io.ErrUnexpectedEOF
	}
	return append(body, rest...), nil
}
