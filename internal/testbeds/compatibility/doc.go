// Package compatibility contains tests for encodings that must stay compatible across versions: messages between processes,
// files on disk, and the JSON that the project's own programs exchange.
//
// The golden files under testdata were written by commit 2705c65 from values with every exported field set (NAME.hex,
// NAME.json) and from zero values (NAME.zero.hex, NAME.zero.json). The current code must encode the same values to the same
// bytes and decode the bytes to the same values, so golden files must never be rewritten. The files for a new type are created by
//
//	go test ./internal/testbeds/compatibility -record
//
// which does not touch existing files. See testdata/README.md.
//
// A new field of an existing type gets the next free CBOR number and omitempty, so that processes of both versions can
// exchange it. It must be added to a new last set of laterFields: the existing golden files then leave it at zero, and
// -record writes an additional file in which it is set: NAME.later for the first set, NAME.later2 for the second, and so on.
package compatibility
