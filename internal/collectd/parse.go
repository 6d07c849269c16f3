// Package collectd takes load reports that machines send in collectd's binary network protocol over UDP.
package collectd

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hmac"
	"crypto/sha1" //nolint:gosec // the protocol's checksum, inside what is encrypted
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"math/bits"
	"time"

	"zincloft.example/zincloft/intake"
)

// Level is how well a packet must be protected.
type Level int

// Levels, each of which takes what the next one does.
const (
	None    Level = iota // anything; a signature that is there must be right, if users are known
	Sign                 // signed or encrypted
	Encrypt              // encrypted
)

// Types of parts, as https://collectd.org/wiki/index.php/Binary_protocol numbers them.
const (
	partHost           = 0x0000
	partTime           = 0x0001
	partPlugin         = 0x0002
	partPluginInstance = 0x0003
	partType           = 0x0004
	partTypeInstance   = 0x0005
	partValues         = 0x0006
	partInterval       = 0x0007
	partTimeHR         = 0x0008
	partIntervalHR     = 0x0009
	partSignature      = 0x0200
	partEncryption     = 0x0210
)

const (
	headBytes  = 4
	textMost   = 128 // bytes of a name, its end included
	valueBytes = 9   // of a value with its kind
	ivBytes    = 16
)

// Errors of packets. What was read before one stands, except in a packet that is not as well protected as it must be.
var (
	ErrCut         = errors.New("a part that is cut")
	ErrLength      = errors.New("a length that can't be")
	ErrText        = errors.New("a text without its end")
	ErrSignature   = errors.New("a signature that is wrong")
	ErrDecryption  = errors.New("a decryption that fails")
	ErrUser        = errors.New("a user that is not known")
	ErrUnprotected = errors.New("not protected as it must be")
	ErrNested      = errors.New("protected twice")
)

// Values are one set of values of a host.
type Values struct {
	Host, Plugin, PluginInstance, Type, TypeInstance string
	Time                                             time.Time
	Interval                                         time.Duration
	Kinds                                            []intake.Kind
	Raw                                              []uint64 // of a gauge, the bits of its float
}

// Gauge is the value at i read as a gauge.
func (v *Values) Gauge(i int) float64 { return math.Float64frombits(v.Raw[i]) }

// Parser reads packets. It keeps no memory of one but buffers, and no word of a packet lives on in what it returns.
type Parser struct {
	Level    Level
	Password func(user string) (string, bool) // nil: no users are known
	values   Values
	plain    []byte
}

// Parse calls take for each set of values of a packet; they hold until take returns. Parts that are not known are skipped
// by their length.
func (p *Parser) Parse(packet []byte, take func(*Values)) error {
	p.values = Values{Kinds: p.values.Kinds[:0], Raw: p.values.Raw[:0]}
	return p.parts(packet, None, take)
}

func (p *Parser) parts(b []byte, have Level, take func(*Values)) error {
	v := &p.values
	for len(b) > 0 {
		if len(b) < headBytes {
			return ErrCut
		}
		kind, n := binary.BigEndian.Uint16(b), int(binary.BigEndian.Uint16(b[2:]))
		if n < headBytes {
			return ErrLength // the next part can't be found
		}
		if n > len(b) {
			return ErrCut
		}
		body := b[headBytes:n]
		b = b[n:]
		var err error
		switch kind {
		case partHost:
			v.Host, err = text(body)
		case partPlugin:
			v.Plugin, err = text(body)
		case partPluginInstance:
			v.PluginInstance, err = text(body)
		case partType:
			v.Type, err = text(body)
		case partTypeInstance:
			v.TypeInstance, err = text(body)
		case partTime, partTimeHR, partInterval, partIntervalHR:
			err = v.time(kind, body)
		case partValues:
			if err = v.read(body); err == nil && have >= p.Level {
				take(v)
			} else if err == nil {
				err = ErrUnprotected
			}
		case partSignature:
			if have != None {
				return ErrNested
			}
			if have, err = p.signed(body, b); err != nil {
				return err
			}
		case partEncryption:
			if have != None {
				return ErrNested
			}
			plain, err := p.decrypt(body)
			if err != nil {
				return err
			}
			return p.parts(plain, Encrypt, take) // it stands for the rest of the packet
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func text(b []byte) (string, error) {
	if len(b) == 0 || b[len(b)-1] != 0 {
		return "", ErrText
	}
	if len(b) > textMost {
		return "", ErrLength
	}
	return string(b[:len(b)-1]), nil
}

// time reads seconds, or 2^-30 seconds in the parts of high resolution.
func (v *Values) time(kind uint16, body []byte) error {
	if len(body) != 8 {
		return ErrLength
	}
	n := binary.BigEndian.Uint64(body)
	seconds, part := n, uint64(0)
	if kind == partTimeHR || kind == partIntervalHR {
		seconds = n >> 30
		high, low := bits.Mul64(n&(1<<30-1), uint64(time.Second))
		part = high<<34 | low>>30
	}
	if seconds > math.MaxInt32*4 { // years from now; in nanoseconds it would overflow
		return ErrLength
	}
	switch kind {
	case partTime, partTimeHR:
		v.Time = time.Unix(int64(seconds), int64(part))
	default:
		v.Interval = time.Duration(min(seconds, 1<<32))*time.Second + time.Duration(part)
	}
	return nil
}

// read reads a part of values: how many, the kind of each, and each; gauges have their bytes the other way round.
func (v *Values) read(body []byte) error {
	if len(body) < 2 {
		return ErrLength
	}
	n := int(binary.BigEndian.Uint16(body))
	if len(body) != 2+n*valueBytes {
		return ErrLength
	}
	kinds, raw := body[2:2+n], body[2+n:]
	v.Kinds, v.Raw = v.Kinds[:0], v.Raw[:0]
	for i, k := range kinds {
		if k > byte(intake.Absolute) {
			return fmt.Errorf("%w: a value of kind %d", ErrLength, k)
		}
		x := binary.BigEndian.Uint64(raw[i*8:])
		if intake.Kind(k) == intake.Gauge {
			x = binary.LittleEndian.Uint64(raw[i*8:])
		}
		v.Kinds, v.Raw = append(v.Kinds, intake.Kind(k)), append(v.Raw, x)
	}
	return nil
}

// signed checks a signature over the user's name and the rest of the packet.
func (p *Parser) signed(body, rest []byte) (Level, error) {
	if len(body) <= sha256.Size {
		return None, ErrLength
	}
	if p.Password == nil {
		return None, nil // it counts for nothing
	}
	user := body[sha256.Size:]
	password, known := p.Password(string(user))
	if !known {
		return None, ErrUser
	}
	sum := hmac.New(sha256.New, []byte(password))
	sum.Write(user)
	sum.Write(rest)
	if !hmac.Equal(sum.Sum(nil), body[:sha256.Size]) {
		return None, ErrSignature
	}
	return Sign, nil
}

// decrypt reads AES-256 in OFB mode under the hash of the user's password, with a checksum before the parts.
func (p *Parser) decrypt(body []byte) ([]byte, error) {
	if len(body) < 2 {
		return nil, ErrLength
	}
	n := int(binary.BigEndian.Uint16(body))
	if body = body[2:]; len(body) < n+ivBytes+sha1.Size {
		return nil, ErrLength
	}
	if p.Password == nil {
		return nil, ErrUser
	}
	password, known := p.Password(string(body[:n]))
	if !known {
		return nil, ErrUser
	}
	key := sha256.Sum256([]byte(password))
	block, err := aes.NewCipher(key[:])
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDecryption, err)
	}
	iv, secret := body[n:n+ivBytes], body[n+ivBytes:]
	p.plain = append(p.plain[:0], secret...)
	cipher.NewOFB(block, iv).XORKeyStream(p.plain, p.plain) //nolint:staticcheck // the protocol's mode
	sum := sha1.Sum(p.plain[sha1.Size:])                    //nolint:gosec // the protocol's checksum
	if !hmac.Equal(sum[:], p.plain[:sha1.Size]) {
		return nil, ErrDecryption
	}
	return p.plain[sha1.Size:], nil
}
