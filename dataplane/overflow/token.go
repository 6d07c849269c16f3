package overflow

import "strings"

// Token identifies one guest request.
type Token struct {
	Lease  string // its ID
	Serial string // unique among the guest requests of all gateways
	Addr   string // where it is to be sent; not part of the encoding
	Site   string // that lent the capacity; not part of the encoding
}

// String encodes a token; ParseToken reads it.
func (t Token) String() string { return t.Lease + "/" + t.Serial }

// ParseToken reads an encoded token. It returns false where the text is none.
func ParseToken(text string) (Token, bool) {
	lease, serial, ok := strings.Cut(text, "/")
	return Token{Lease: lease, Serial: serial}, ok && lease != "" && serial != ""
}
