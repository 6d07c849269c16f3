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

// SecurityLevel is how well a packet must be protected.
type SecurityLevel int

// Levels, each of which takes what the next one does.
const (
	SecurityNone    SecurityLevel = iota // anything; a signature that is there must be right, if users are known
	SecuritySign                         // signed or encrypted
	SecurityEncrypt                      // encrypted
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
	partHeaderBytes = 4
	maxStringBytes  = 128 // bytes of a name, its end included
	valueBytes      = 9   // of a value with its kind
	ivBytes         = 16
)

// Errors of packets. What was read before one stands, except in a packet that is not as well protected as it must be.
var (
	ErrTruncated    = errors.New("a part that is cut")
	ErrLength       = errors.New("a length that can't be")
	ErrUnterminated = errors.New("a text without its end")
	ErrSignature    = errors.New("a signature that is wrong")
	ErrDecryption   = errors.New("a decryption that fails")
	ErrUnknownUser  = errors.New("a user that is not known")
	ErrUnprotected  = errors.New("not protected as it must be")
	ErrNested       = errors.New("protected twice")
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
	MinLevel   SecurityLevel
	PasswordOf func(user string) (string, bool) // nil: no users are known
	values     Values
	plaintext  []byte
}

// Parse calls take for each set of values of a packet; they hold until take returns. Parts that are not known are skipped
// by their length.
func (p *Parser) Parse(packet []byte, handle func(*Values)) error {
	p.values = Values{Kinds: p.values.Kinds[:0], Raw: p.values.Raw[:0]}
	return p.parseParts(packet, SecurityNone, handle)
}

func (p *Parser) parseParts(b []byte, level SecurityLevel, handle func(*Values)) error {
	v := &p.values
	for len(b) > 0 {
		if len(b) < partHeaderBytes {
			return ErrTruncated
		}
		kind, n := binary.BigEndian.Uint16(b), int(binary.BigEndian.Uint16(b[2:]))
		if n < partHeaderBytes {
			return ErrLength // the next part can't be found
		}
		if n > len(b) {
			return ErrTruncated
		}
		body := b[partHeaderBytes:n]
		b = b[n:]
		var err error
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
		case partValues:
			if err = v.parseValues(body); err == nil && level >= p.MinLevel {
				handle(v)
			} else if err == nil {
				err = ErrUnprotected
			}
		case partSignature:
			if level != SecurityNone {
				return ErrNested
			}
			if level, err = p.verifySignature(body, b); err != nil {
				return err
			}
		case partEncryption:
			if level != SecurityNone {
				return ErrNested
			}
			plain, err := p.decrypt(body)
			if err != nil {
				return err
			}
			return p.parseParts(plain, SecurityEncrypt, handle) // it stands for the rest of the packet
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func parseString(b []byte) (string, error) {
	if len(b) == 0 || b[len(b)-1] != 0 {
		return "", ErrUnterminated
	}
	if len(b) > maxStringBytes {
		return "", ErrLength
	}
	return string(b[:len(b)-1]), nil
}

// parseTime reads seconds, or 2^-30 seconds in the parts of high resolution.
func (v *Values) parseTime(kind uint16, body []byte) error {
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

// parseValues reads a part of values: how many, the kind of each, and each; gauges have their bytes the other way round.
func (v *Values) parseValues(body []byte) error {
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

// verifySignature checks a signature over the user's name and the rest of the packet.
func (p *Parser) verifySignature(body, rest []byte) (SecurityLevel, error) {
	if len(body) <= sha256.Size {
		return SecurityNone, ErrLength
	}
	if p.PasswordOf == nil {
		return SecurityNone, nil // it counts for nothing
	}
	user := body[sha256.Size:]
	password, known := p.PasswordOf(string(user))
	if !known {
		return SecurityNone, ErrUnknownUser
	}
	sum := hmac.New(sha256.New, []byte(password))
	sum.Write(user)
	sum.Write(rest)
	if !hmac.Equal(sum.Sum(nil), body[:sha256.Size]) {
		return SecurityNone, ErrSignature
	}
	return SecuritySign, nil
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
	if p.PasswordOf == nil {
		return nil, ErrUnknownUser
	}
	password, known := p.PasswordOf(string(body[:n]))
	if !known {
		return nil, ErrUnknownUser
	}
	key := sha256.Sum256([]byte(password))
	block, err := aes.NewCipher(key[:])
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDecryption, err)
	}
	iv, secret := body[n:n+ivBytes], body[n+ivBytes:]
	p.plaintext = append(p.plaintext[:0], secret...)
	cipher.NewOFB(block, iv).XORKeyStream(p.plaintext, p.plaintext) //nolint:staticcheck // the protocol's mode
	sum := sha1.Sum(p.plaintext[sha1.Size:])                        //nolint:gosec // the protocol's checksum
	if !hmac.Equal(sum[:], p.plaintext[:sha1.Size]) {
		return nil, ErrDecryption
	}
	return p.plaintext[sha1.Size:], nil
}
