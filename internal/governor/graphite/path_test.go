package graphite

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestSanitizePathPart checks that any two different texts give valid and different path components.
func TestSanitizePathPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.String().Draw(t, "a"), rapid.String().Draw(t, "b")
		for _, part := range []string{SanitizePathPart(a), SanitizePathPart(b)} {
			if part == "" || len(part) > maxPathPartBytes+9 || strings.ContainsFunc(part, func(r rune) bool {
				return r > 127 || strings.ContainsRune(" .\n\t/;*{}[]~", r)
			}) {
				t.Fatalf("%q", part)
			}
		}
		if a != b && SanitizePathPart(a) == SanitizePathPart(b) {
			t.Fatalf("%q and %q both become %q", a, b, SanitizePathPart(a))
		}
	})
	for _, valid := range []string{"s-5be2a07c", "A_b-9"} {
		if SanitizePathPart(valid) != valid {
			t.Errorf("%q becomes %q", valid, SanitizePathPart(valid))
		}
	}
}
