package overflow

import "strings"

// Token identifies a forwarded request and the lease that covers it.
type Token struct {
	Lease  string // lease ID
	Serial string // unique among the forwarded requests of all gateways
	Addr   string // address to forward to; not encoded
	Site   string // lending site; not encoded
}

// String encodes the token in the form that ParseToken parses.
func (t Token) String() string { return t.Lease + "/" + t.Serial }

// ParseToken parses an encoded token. It returns false if the text is not a valid token.
func ParseToken(text string) (Token, bool) {
	lease, serial, ok := strings.Cut(text, "/")
	return Token{Lease: lease, Serial: serial}, ok && lease != "" && serial != ""
}
