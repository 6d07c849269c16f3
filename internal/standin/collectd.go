package standin

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"time"
)

// Packet makes packets of collectd's network protocol, good and broken.
type Packet []byte

// Part adds a part of any type.
func (p Packet) Part(kind uint16, body []byte) Packet {
	p = binary.BigEndian.AppendUint16(p, kind)
	p = binary.BigEndian.AppendUint16(p, uint16(4+len(body)))
	return append(p, body...)
}

// Text adds a part that is a text: 0 host, 2 plugin, 3 its instance, 4 type, 5 its instance.
func (p Packet) Text(kind uint16, text string) Packet { return p.Part(kind, append([]byte(text), 0)) }

// Number adds a part that is a number: 1 time in seconds, 7 interval.
func (p Packet) Number(kind uint16, n uint64) Packet {
	return p.Part(kind, binary.BigEndian.AppendUint64(nil, n))
}

// Time adds a time in units of 2^-30 seconds.
func (p Packet) Time(t time.Time) Packet {
	return p.Number(8, uint64(t.Unix())<<30|uint64(t.Nanosecond())<<30/uint64(time.Second))
}

// Gauges adds a part of values that are gauges.
func (p Packet) Gauges(values ...float64) Packet {
	b := binary.BigEndian.AppendUint16(nil, uint16(len(values)))
	for range values {
		b = append(b, 1)
	}
	for _, v := range values {
		b = binary.LittleEndian.AppendUint64(b, math.Float64bits(v))
	}
	return p.Part(6, b)
}

// Counts adds a part of values of one kind that counts: 0 counter, 2 derive, 3 absolute.
func (p Packet) Counts(kind byte, values ...uint64) Packet {
	b := binary.BigEndian.AppendUint16(nil, uint16(len(values)))
	for range values {
		b = append(b, kind)
	}
	for _, v := range values {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	return p.Part(6, b)
}

// Broken changes a packet at random: bytes, its length, or a part's length.
func (p Packet) Broken(chance *rand.Rand) Packet {
	b := append(Packet{}, p...)
	for range 1 + chance.IntN(4) {
		switch at := chance.IntN(len(b)); chance.IntN(3) {
		case 0:
			b[at] = byte(chance.Uint32())
		case 1:
			if b = b[:at]; len(b) == 0 {
				return b
			}
		default:
			b = append(b[:at:at], append([]byte{byte(chance.Uint32()), byte(chance.Uint32())}, b[at:]...)...)
		}
	}
	return b
}
