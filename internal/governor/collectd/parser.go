package collectd

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/bits"
	"time"

	"zincloft.example/zincloft/intake"
)

// ValueList is a list of values of a host, in collectd's terms.
type ValueList struct {
	Host, Plugin, PluginInstance, Type, TypeInstance string

	Time     time.Time
	Interval time.Duration
	Kinds    []intake.Kind
	Raw      []uint64 // a gauge as the bits of its float64
}

// Gauge returns value i as a gauge.
func (v *ValueList) Gauge(i int) float64 { return math.Float64frombits(v.Raw[i]) }

// Parser parses packets. It retains only buffers between packets.
type Parser struct {
	MinLevel   SecurityLevel
	PasswordOf func(user string) (password string, known bool) // nil: there are no users

	values    ValueList
	plaintext []byte
}

// Parse calls handle for each value list in a packet. The list is valid only until handle returns. Parts of unknown types are
// skipped.
func (p *Parser) Parse(packet []byte, handle func(*ValueList)) error {
	p.values = ValueList{Kinds: p.values.Kinds[:0], Raw: p.values.Raw[:0]}
	return p.parseParts(packet, SecurityNone, handle)
}

// parseParts parses parts that are protected at the given level. A signature raises the level of the parts that follow it.
func (p *Parser) parseParts(packet []byte, level SecurityLevel, handle func(*ValueList)) error {
	for len(packet) > 0 {
		kind, body, rest, err := nextPart(packet)
		if err != nil {
			return err
		}
		packet = rest
		switch kind {
		case partSignature:
			if level != SecurityNone {
				return ErrNested
			}
			if level, err = p.verifySignature(body, rest); err != nil {
				return err
			}
		case partEncryption:
			if level != SecurityNone {
				return ErrNested
			}
			parts, err := p.decrypt(body)
			if err != nil {
				return err
			}
			return p.parseParts(parts, SecurityEncrypt, handle) // anything after an encrypted part is ignored
		case partValues:
			if err := p.values.parseValues(body); err != nil {
				return err
			}
			if level < p.MinLevel {
				return ErrUnprotected
			}
			handle(&p.values)
		default:
			if err := p.values.parseAttribute(kind, body); err != nil {
				return err
			}
		}
	}
	return nil
}

// nextPart splits the first part off a packet.
func nextPart(packet []byte) (kind uint16, body, rest []byte, err error) {
	if len(packet) < partHeaderBytes {
		return 0, nil, nil, ErrTruncated
	}
	length := int(binary.BigEndian.Uint16(packet[2:]))
	if length < partHeaderBytes {
		return 0, nil, nil, ErrLength // the start of the next part is unknown
	}
	if length > len(packet) {
		return 0, nil, nil, ErrTruncated
	}
	return binary.BigEndian.Uint16(packet), packet[partHeaderBytes:length], packet[length:], nil
}

// parseAttribute parses a part that applies to the values after it. Parts of unknown types are ignored.
func (v *ValueList) parseAttribute(kind uint16, body []byte) (err error) {
	switch kind {
	case partHost:
		v.Host, err = parseString(body)
	case partPlugin:
		v.Plugin, err = parseString(body)
	case partPluginInstance:
		v.PluginInstance, err = parseString(body)
	case partType:
		v.Type, err = parseString(body)
	case partTypeInstance:
		v.TypeInstance, err = parseString(body)
	case partTime, partTimeHR, partInterval, partIntervalHR:
		err = v.parseTime(kind, body)
	}
	return err
}

// parseString parses a zero-terminated string.
func parseString(b []byte) (string, error) {
	if len(b) == 0 || b[len(b)-1] != 0 {
		return "", ErrUnterminated
	}
	if len(b) > maxStringBytes {
		return "", ErrLength
	}
	return string(b[:len(b)-1]), nil
}

// parseTime parses a time or an interval, in seconds or, in high-resolution parts, in units of 2^-30 seconds.
func (v *ValueList) parseTime(kind uint16, body []byte) error {
	if len(body) != numberBytes {
		return ErrLength
	}
	number := binary.BigEndian.Uint64(body)
	seconds, nanoseconds := number, uint64(0)
	if kind == partTimeHR || kind == partIntervalHR {
		seconds = number >> 30
		high, low := bits.Mul64(number&(1<<30-1), uint64(time.Second))
		nanoseconds = high<<34 | low>>30
	}
	if seconds > math.MaxInt32*4 { // would overflow in nanoseconds
		return ErrLength
	}
	switch kind {
	case partTime, partTimeHR:
		v.Time = time.Unix(int64(seconds), int64(nanoseconds))
	default:
		v.Interval = time.Duration(min(seconds, 1<<32))*time.Second + time.Duration(nanoseconds)
	}
	return nil
}

// parseValues parses a list of values: the count, the kinds and the values. Gauges are little-endian, all else is big-endian.
func (v *ValueList) parseValues(body []byte) error {
	if len(body) < countBytes {
		return ErrLength
	}
	count := int(binary.BigEndian.Uint16(body))
	if len(body) != countBytes+count*valueBytes {
		return ErrLength
	}
	kinds, raw := body[countBytes:countBytes+count], body[countBytes+count:]
	v.Kinds, v.Raw = v.Kinds[:0], v.Raw[:0]
	for i, kind := range kinds {
		if kind > byte(intake.Absolute) {
			return fmt.Errorf("%w: a value of kind %d", ErrLength, kind)
		}
		value := binary.BigEndian.Uint64(raw[i*numberBytes:])
		if intake.Kind(kind) == intake.Gauge {
			value = binary.LittleEndian.Uint64(raw[i*numberBytes:])
		}
		v.Kinds, v.Raw = append(v.Kinds, intake.Kind(kind)), append(v.Raw, value)
	}
	return nil
}
