// Package simadapter translates between the simulator's binary protocol and the events and orders of package rules.
//
// A frame consists of a header, fixed-size records, and a tail of bytes that records refer to. All numbers are little-endian.
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
	entrySize       = 21 // size of a list entry in the tail
	maxFrameSize    = 1 << 30
)

// Errors that Decoder.Next wraps with details.
var (
	ErrTruncatedFrame = errors.New("truncated frame")
	ErrMalformedFrame = errors.New("malformed frame")
)

// InstanceID is the simulator's ID of a governor.
type InstanceID uint16

// InstanceEvents are the events for one instance in a batch.
type InstanceEvents struct {
	Instance      InstanceID
	Events        []rules.Event
	SettingsError error // set if the settings of the instance are invalid
}

// Batch is one frame of events. Instances are in the order in which they are first selected.
type Batch struct {
	Now       rules.Time
	Instances []*InstanceEvents
}

// Decoder reads batches. It keeps the names of the load metrics in the settings of each instance.
type Decoder struct {
	reader      io.Reader
	loadMetrics map[InstanceID][]string
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{reader: r, loadMetrics: map[InstanceID][]string{}}
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
		if event.code() == eventSelectInstance {
			id := InstanceID(event.uint16(1))
			if current = byID[id]; current == nil {
				current = &InstanceEvents{Instance: id}
				byID[id] = current
				batch.Instances = append(batch.Instances, current)
			}
			continue
		}
		if current == nil {
			return nil, fmt.Errorf("%w: event code %d before any instance is selected", ErrMalformedFrame, event.code())
		}
		if err := d.decodeEvent(current, event); err != nil {
			return nil, err
		}
	}
	return batch, nil
}

// frame is an undecoded frame of events.
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
