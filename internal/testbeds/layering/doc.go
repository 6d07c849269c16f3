// Package layering holds the module's imports to their layers, which docs/architecture.md names.
package layering
