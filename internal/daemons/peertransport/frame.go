// Package peertransport carries messages between control-plane members and gateways as CBOR frames over TCP. Each frame is
// preceded by its size in bytes as a big-endian 32-bit integer.
//
// A member sends to each other member over a Peer, whose connection is used in one direction only. A gateway dials one member, and
// both sides send over a Conn. Messages may be lost when a connection ends; the protocols above handle the loss.
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
	maxFrameSize    = 24 << 20 // bytes; fits a configuration of the maximum size, 16 MiB, and the other fields
	maxHelloSize    = 4 << 10  // bytes
	initialReadSize = 64 << 10 // bytes; allocated before any of the body has been received
	maxElements     = 1 << 20  // per array or map in a frame
)

// ErrFrameTooLarge means that a frame's announced size exceeds the maximum.
var ErrFrameTooLarge = errors.New("frame exceeds the maximum size")

// ErrNoHello means that the first frame of a connection has no Hello.
var ErrNoHello = errors.New("first frame is not a hello")

// Frame is the unit of transmission. It carries the fields that are set. An empty frame is a keep-alive.
type Frame struct {
	// Hello is sent by the dialing side as the first frame of a connection.
	Hello *messages.Hello `cbor:"1,keyasint,omitempty"`

	// Coordinator, Instances, GatewaySummary and Ejections are sent between members.
	Coordinator *coordinator.Message `cbor:"2,keyasint,omitempty"`
	Instances   []fleet.Instance     `cbor:"3,keyasint,omitempty"`

	// StateUpdate is sent by a member to a gateway, LoadReport by a gateway to a member.
	StateUpdate *messages.StateUpdate `cbor:"4,keyasint,omitempty"`
	LoadReport  *messages.LoadReport  `cbor:"5,keyasint,omitempty"`

	GatewaySummary *peermessages.GatewaySummary `cbor:"6,keyasint,omitempty"`
	Ejections      []fleet.Ejection             `cbor:"7,keyasint,omitempty"`

	KeyLoads []messages.ServiceKeyLoad `cbor:"9,keyasint,omitempty"`

	// PersistRequest is sent between members along with Instances.
	PersistRequest uint64 `cbor:"8,keyasint,omitempty"`
}

var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// EncodeFrame encodes a frame, preceded by its size.
func EncodeFrame(frame *Frame) ([]byte, error) {
	body, err := cbor.Marshal(frame)
	if err != nil {
		return nil, fmt.Errorf("encoding a frame: %w", err)
	}
	raw := binary.BigEndian.AppendUint32(make([]byte, 0, lengthSize+len(body)), uint32(len(body)))
	return append(raw, body...), nil
}

// ReadHello reads the first frame of an inbound connection. Its size limit is low because the sender has not identified itself yet.
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

// ReadFrame reads and decodes one frame. It returns io.EOF if the connection ends between frames and io.ErrUnexpectedEOF if it ends
// within a frame. If the announced size exceeds the maximum, the error wraps ErrFrameTooLarge and the body is not read.
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

// readBody reads a frame's encoded body. It allocates memory as data arrives rather than by the announced size, so that a client
// cannot cause a large allocation by sending only a size.
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
