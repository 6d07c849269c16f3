package graphite

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const maxPathPartBytes = 64

// SanitizePathPart converts text to a path component. It replaces all characters other than letters, digits, - and _, because
// dots separate components and other characters may have a meaning in queries. A text that is changed gets a suffix with its
// hash, so that different texts stay distinct.
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
