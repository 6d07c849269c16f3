package graphite

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const maxPathPartBytes = 64

// SanitizePathPart makes one part of a path of any text. Letters, digits, - and _ stay; a dot would begin another part, and
// other characters may have a meaning in queries. A text that is changed gets its hash as a suffix, so that different texts
// never become equal parts.
func SanitizePathPart(text string) string {
	safe := []byte(text)
	if len(safe) > maxPathPartBytes {
		safe = safe[:maxPathPartBytes]
	}
	for i, c := range safe {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_':
		default:
			safe[i] = '_'
		}
	}
	if string(safe) == text && text != "" {
		return text
	}
	return fmt.Sprintf("%s_%08x", safe, uint32(xxhash.Sum64String(text)))
}
