// Package layering contains tests that enforce the import layers described in docs/architecture.md.
package layering
