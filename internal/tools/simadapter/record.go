package simadapter

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"
)

// record is one record of a frame, with the tail that it may refer to.
type record struct{ bytes, tail []byte }

func (r record) code() byte { return r.bytes[0] }

func (r record) uint16(at int) uint16 { return binary.LittleEndian.Uint16(r.bytes[at:]) }
func (r record) uint32(at int) uint32 { return binary.LittleEndian.Uint32(r.bytes[at:]) }
func (r record) uint64(at int) uint64 { return binary.LittleEndian.Uint64(r.bytes[at:]) }

func (r record) duration(at int) time.Duration { return time.Duration(r.uint64(at)) }
func (r record) float32(at int) float64        { return float64(math.Float32frombits(r.uint32(at))) }

// tailBytes returns the part of the tail given by an offset and an element count in the record.
func (r record) tailBytes(at, elementSize int) ([]byte, error) {
	offset, size := uint64(r.uint32(at)), uint64(r.uint32(at+4))*uint64(elementSize)
	if offset+size > uint64(len(r.tail)) {
		return nil, fmt.Errorf("%w: event code %d points past the tail", ErrMalformedFrame, r.code())
	}
	return r.tail[offset : offset+size], nil
}
