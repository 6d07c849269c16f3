package standin

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"time"
)

// PartType is the type of a part of a collectd packet.
type PartType uint16

// Part types of collectd's binary network protocol.
const (
	PartHost           PartType = 0
	PartTime           PartType = 1 // in seconds
	PartPlugin         PartType = 2
	PartPluginInstance PartType = 3
	PartTypeName       PartType = 4
	PartTypeInstance   PartType = 5
	PartValues         PartType = 6
	PartInterval       PartType = 7 // in seconds
	PartTimeHighRes    PartType = 8 // in units of 2^-30 seconds
)

const dataSourceGauge = 1 // data source type code of a gauge

const partHeaderSize = 4

// CollectdPacket builds valid and corrupt packets of collectd's network protocol. The Append methods return the packet with one part
// appended.
type CollectdPacket []byte

// AppendPart appends a part with a raw body.
func (p CollectdPacket) AppendPart(partType PartType, body []byte) CollectdPacket {
	p = binary.BigEndian.AppendUint16(p, uint16(partType))
	p = binary.BigEndian.AppendUint16(p, uint16(partHeaderSize+len(body)))
	return append(p, body...)
}

// AppendString appends a string part, such as a host or plugin name.
func (p CollectdPacket) AppendString(partType PartType, text string) CollectdPacket {
	return p.AppendPart(partType, append([]byte(text), 0))
}

// AppendNumber appends a numeric part, such as a time or an interval.
func (p CollectdPacket) AppendNumber(partType PartType, n uint64) CollectdPacket {
	return p.AppendPart(partType, binary.BigEndian.AppendUint64(nil, n))
}

// AppendTime appends a high-resolution time.
func (p CollectdPacket) AppendTime(t time.Time) CollectdPacket {
	return p.AppendNumber(PartTimeHighRes, uint64(t.Unix())<<30|uint64(t.Nanosecond())<<30/uint64(time.Second))
}

// AppendGauges appends a values part of gauges.
func (p CollectdPacket) AppendGauges(values ...float64) CollectdPacket {
	body := valueTypes(len(values), dataSourceGauge)
	for _, value := range values {
		body = binary.LittleEndian.AppendUint64(body, math.Float64bits(value))
	}
	return p.AppendPart(PartValues, body)
}

// AppendCounters appends a values part of one integer data source type: 0 counter, 2 derive, 3 absolute.
func (p CollectdPacket) AppendCounters(dataSource byte, values ...uint64) CollectdPacket {
	body := valueTypes(len(values), dataSource)
	for _, value := range values {
		body = binary.BigEndian.AppendUint64(body, value)
	}
	return p.AppendPart(PartValues, body)
}

// valueTypes returns the start of a values part's body: the number of values, then the type of each.
func valueTypes(count int, dataSource byte) []byte {
	body := binary.BigEndian.AppendUint16(nil, uint16(count))
	for range count {
		body = append(body, dataSource)
	}
	return body
}

// Corrupt returns a copy of the packet with random bytes changed or inserted, or truncated at a random position.
func (p CollectdPacket) Corrupt(random *rand.Rand) CollectdPacket {
	corrupt := append(CollectdPacket{}, p...)
	for range 1 + random.IntN(4) {
		switch at := random.IntN(len(corrupt)); random.IntN(3) {
		case 0:
			corrupt[at] = byte(random.Uint32())
		case 1:
			if corrupt = corrupt[:at]; len(corrupt) == 0 {
				return corrupt
			}
		default:
			inserted := []byte{byte(random.Uint32()), byte(random.Uint32())}
			corrupt = append(corrupt[:at:at], append(inserted, corrupt[at:]...)...)
		}
	}
	return corrupt
}
