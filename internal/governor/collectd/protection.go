package collectd

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hmac"
	"crypto/sha1" //nolint:gosec // required by the protocol as a checksum inside encrypted data
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// verifySignature verifies a signature, which covers the user name and the rest of the packet, and returns the level that it
// provides: SecurityNone if there are no users.
func (p *Parser) verifySignature(body, rest []byte) (SecurityLevel, error) {
	if len(body) <= sha256.Size {
		return SecurityNone, ErrLength
	}
	if p.PasswordOf == nil {
		return SecurityNone, nil
	}
	signature, user := body[:sha256.Size], body[sha256.Size:]
	password, known := p.PasswordOf(string(user))
	if !known {
		return SecurityNone, ErrUnknownUser
	}
	mac := hmac.New(sha256.New, []byte(password))
	mac.Write(user)
	mac.Write(rest)
	if !hmac.Equal(mac.Sum(nil), signature) {
		return SecurityNone, ErrSignature
	}
	return SecuritySign, nil
}

// decrypt returns the parts inside an encrypted part, which is encrypted with AES-256 in OFB mode under the hash of the user's
// password and holds a checksum before the parts. The result is valid until the next call.
func (p *Parser) decrypt(body []byte) ([]byte, error) {
	if len(body) < countBytes {
		return nil, ErrLength
	}
	nameBytes := int(binary.BigEndian.Uint16(body))
	if body = body[countBytes:]; len(body) < nameBytes+ivBytes+sha1.Size {
		return nil, ErrLength
	}
	if p.PasswordOf == nil {
		return nil, ErrUnknownUser
	}
	password, known := p.PasswordOf(string(body[:nameBytes]))
	if !known {
		return nil, ErrUnknownUser
	}
	key := sha256.Sum256([]byte(password))
	block, err := aes.NewCipher(key[:])
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDecryption, err)
	}
	iv, ciphertext := body[nameBytes:nameBytes+ivBytes], body[nameBytes+ivBytes:]
	p.plaintext = append(p.plaintext[:0], ciphertext...)
	cipher.NewOFB(block, iv).XORKeyStream(p.plaintext, p.plaintext) //nolint:staticcheck // required by the protocol
	parts := p.plaintext[sha1.Size:]
	sum := sha1.Sum(parts) //nolint:gosec // required by the protocol
	if !hmac.Equal(sum[:], p.plaintext[:sha1.Size]) {
		return nil, ErrDecryption
	}
	return parts, nil
}
