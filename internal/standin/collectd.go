package standin

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"time"
)

// CollectdPacket makes packets of collectd's network protocol, good and broken.
type CollectdPacket []byte

// AppendPart adds a part of any type.
func (p CollectdPacket) AppendPart(kind uint16, body []byte) CollectdPacket {
	p = binary.BigEndian.AppendUint16(p, kind)
	p = binary.BigEndian.AppendUint16(p, uint16(4+len(body)))
	return append(p, body...)
}

// AppendString adds a part that is a text: 0 host, 2 plugin, 3 its instance, 4 type, 5 its instance.
func (p CollectdPacket) AppendString(kind uint16, text string) CollectdPacket {
	return p.AppendPart(kind, append([]byte(text), 0))
}

// AppendNumber adds a part that is a number: 1 time in seconds, 7 interval.
func (p CollectdPacket) AppendNumber(kind uint16, n uint64) CollectdPacket {
	return p.AppendPart(kind, binary.BigEndian.AppendUint64(nil, n))
}

// AppendTime adds a time in units of 2^-30 seconds.
func (p CollectdPacket) AppendTime(t time.Time) CollectdPacket {
	return p.AppendNumber(8, uint64(t.Unix())<<30|uint64(t.Nanosecond())<<30/uint64(time.Second))
}

// AppendGauges adds a part of values that are gauges.
func (p CollectdPacket) AppendGauges(values ...float64) CollectdPacket {
	b := binary.BigEndian.AppendUint16(nil, uint16(len(values)))
	for range values {
		b = append(b, 1)
	}
	for _, v := range values {
		b = binary.LittleEndian.AppendUint64(b, math.Float64bits(v))
	}
	return p.AppendPart(6, b)
}

// AppendCounters adds a part of values of one kind that counts: 0 counter, 2 derive, 3 absolute.
func (p CollectdPacket) AppendCounters(kind byte, values ...uint64) CollectdPacket {
	b := binary.BigEndian.AppendUint16(nil, uint16(len(values)))
	for range values {
		b = append(b, kind)
	}
	for _, v := range values {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	return p.AppendPart(6, b)
}

// Corrupt changes a packet at random: bytes, its length, or a part's length.
func (p CollectdPacket) Corrupt(chance *rand.Rand) CollectdPacket {
	b := append(CollectdPacket{}, p...)
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
