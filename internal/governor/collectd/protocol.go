// Package collectd receives load reports that machines send in collectd's binary network protocol over UDP.
package collectd

import "errors"

// Part types, see https://collectd.org/wiki/index.php/Binary_protocol.
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
	maxStringBytes  = 128 // maximum length of a string, including its terminating zero
	numberBytes     = 8
	countBytes      = 2 // number of values, or length of a user name
	valueBytes      = 9 // a value and its kind
	ivBytes         = 16
)

// SecurityLevel is the protection that a packet has or requires. A higher level satisfies a lower requirement.
type SecurityLevel int

// Security levels, in ascending order.
const (
	SecurityNone    SecurityLevel = iota // unprotected; if there are users, an optional signature must be valid
	SecuritySign                         // signed or encrypted
	SecurityEncrypt                      // encrypted
)

// Errors of packets, whose texts are causes in the counts log. Values parsed before an error are kept; a packet below the
// required security level yields none.
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
