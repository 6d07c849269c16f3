// Package simadapter reads and writes the simulator's frames and translates them to and from the events and orders of package
// rules. It decides nothing.
//
// A frame of events is a header, records of a fixed size, and a tail of bytes that records point into; a reply likewise. All
// numbers are little-endian.
package simadapter

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"zincloft.example/zincloft/rules"
)

const (
	batchHeaderSize = 16
	eventSize       = 48
	entrySize       = 21 // of a replica in the tail
	maxFrameSize    = 1 << 30
)

// Errors of a frame. They are wrapped with what was met.
var (
	ErrTruncatedFrame = errors.New("truncated frame")
	ErrMalformedFrame = errors.New("malformed frame")
)

// InstanceID is the simulator's number for one governor.
type InstanceID uint16

// InstanceEvents is what one batch holds for one instance.
type InstanceEvents struct {
	Instance      InstanceID
	Events        []rules.Event
	SettingsError error // the instance cannot run on its settings
}

// Batch is one frame of events. Instances stand in the order in which they are first named.
type Batch struct {
	Now       rules.Time
	Instances []*InstanceEvents
}

// Decoder reads batches. It remembers which load figures each instance's site reports.
type Decoder struct {
	reader     io.Reader
	loadFields map[InstanceID][]string
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{reader: r, loadFields: map[InstanceID][]string{}}
}

// Next reads one batch. It returns io.EOF at a clean end of input.
func (d *Decoder) Next() (*Batch, error) {
	frame, err := d.readFrame()
	if err != nil {
		return nil, err
	}
	batch := &Batch{Now: frame.now}
	byID := map[InstanceID]*InstanceEvents{}
	var current *InstanceEvents
	for offset := 0; offset < len(frame.records); offset += eventSize {
		event := record{bytes: frame.records[offset : offset+eventSize], tail: frame.tail}
		if event.code() == eventSelect {
			id := InstanceID(event.uint16(1))
			if current = byID[id]; current == nil {
				current = &InstanceEvents{Instance: id}
				byID[id] = current
				batch.Instances = append(batch.Instances, current)
			}
			continue
		}
		if current == nil {
			return nil, fmt.Errorf("%w: event code %d before any instance is named", ErrMalformedFrame, event.code())
		}
		if err := d.decodeEvent(current, event); err != nil {
			return nil, err
		}
	}
	return batch, nil
}

// frame is a frame of events as it was read.
type frame struct {
	now           rules.Time
	records, tail []byte
}

func (d *Decoder) readFrame() (frame, error) {
	var header [batchHeaderSize]byte
	if _, err := io.ReadFull(d.reader, header[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return frame{}, fmt.Errorf("%w: the input ends inside a header", ErrTruncatedFrame)
		}
		return frame{}, err
	}
	size := binary.LittleEndian.Uint32(header[0:])
	now := binary.LittleEndian.Uint64(header[4:])
	count := binary.LittleEndian.Uint32(header[12:])
	bodySize := int64(size) - batchHeaderSize
	if bodySize < int64(count)*eventSize || size > maxFrameSize {
		return frame{}, fmt.Errorf("%w: %d bytes for %d records", ErrMalformedFrame, size, count)
	}
	body := make([]byte, bodySize)
	if _, err := io.ReadFull(d.reader, body); err != nil {
		return frame{}, fmt.Errorf("%w: %d bytes announced", ErrTruncatedFrame, size)
	}
	return frame{now: rules.Time(now), records: body[:count*eventSize], tail: body[count*eventSize:]}, nil
}
