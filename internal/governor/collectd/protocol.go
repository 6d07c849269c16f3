// Package collectd receives load reports that machines send in collectd's binary network protocol over UDP.
package collectd

import "errors"

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

// Sizes in bytes.
const (
	partHeaderBytes = 4   // type and length of a part
	maxStringBytes  = 128 // of a string with its terminating zero
	numberBytes     = 8
	countBytes      = 2 // of a number of values, or of the length of a user's name
	valueBytes      = 9 // of a value with its kind
	ivBytes         = 16
)

// SecurityLevel is how a packet is protected, or must be. A higher level satisfies a lower one.
type SecurityLevel int

// Security levels, in rising order.
const (
	SecurityNone    SecurityLevel = iota // not at all; a signature that is there must be valid if users are known
	SecuritySign                         // signed or encrypted
	SecurityEncrypt                      // encrypted
)

// Errors of packets. Values that were read before the error stand, except in a packet that is protected less than it must
// be.
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
