package standin

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"time"
)

// PartType is the type of a part of a collectd packet.
type PartType uint16

// Types of parts, as collectd's network protocol numbers them.
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

// dataSourceGauge is the type of a value that is a gauge; the others are parameters of AppendCounters.
const dataSourceGauge = 1

const partHeaderSize = 4

// CollectdPacket builds packets of collectd's network protocol, valid and corrupt ones. Its methods return the packet with a
// part appended.
type CollectdPacket []byte

// AppendPart adds a part of any type.
func (p CollectdPacket) AppendPart(partType PartType, body []byte) CollectdPacket {
	p = binary.BigEndian.AppendUint16(p, uint16(partType))
	p = binary.BigEndian.AppendUint16(p, uint16(partHeaderSize+len(body)))
	return append(p, body...)
}

// AppendString adds a part that is a string: host, plugin, type or an instance of these.
func (p CollectdPacket) AppendString(partType PartType, text string) CollectdPacket {
	return p.AppendPart(partType, append([]byte(text), 0))
}

// AppendNumber adds a part that is a number: a time or an interval.
func (p CollectdPacket) AppendNumber(partType PartType, n uint64) CollectdPacket {
	return p.AppendPart(partType, binary.BigEndian.AppendUint64(nil, n))
}

// AppendTime adds a time in high resolution.
func (p CollectdPacket) AppendTime(t time.Time) CollectdPacket {
	return p.AppendNumber(PartTimeHighRes, uint64(t.Unix())<<30|uint64(t.Nanosecond())<<30/uint64(time.Second))
}

// AppendGauges adds a part of values that are gauges.
func (p CollectdPacket) AppendGauges(values ...float64) CollectdPacket {
	body := valueTypes(len(values), dataSourceGauge)
	for _, value := range values {
		body = binary.LittleEndian.AppendUint64(body, math.Float64bits(value))
	}
	return p.AppendPart(PartValues, body)
}

// AppendCounters adds a part of values of one data source type that counts: 0 counter, 2 derive, 3 absolute.
func (p CollectdPacket) AppendCounters(dataSource byte, values ...uint64) CollectdPacket {
	body := valueTypes(len(values), dataSource)
	for _, value := range values {
		body = binary.BigEndian.AppendUint64(body, value)
	}
	return p.AppendPart(PartValues, body)
}

// valueTypes begins the body of a part of values: their number, then the type of each.
func valueTypes(count int, dataSource byte) []byte {
	body := binary.BigEndian.AppendUint16(nil, uint16(count))
	for range count {
		body = append(body, dataSource)
	}
	return body
}

// Corrupt returns the packet with random changes: of a byte, of its length, or bytes inserted.
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
