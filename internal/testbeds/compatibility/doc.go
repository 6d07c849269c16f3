// Package compatibility guards the encodings that outlive one build: messages between processes of different versions,
// files on disk, and the JSON that the project's own programs exchange. It holds tests only.
//
// Each file under testdata was written by commit 2705c65 from a value with every exported field set (NAME.hex,
// NAME.json) or from the zero value (NAME.zero.hex, NAME.zero.json). The current code must encode the same values to
// the same bytes and decode the bytes to the same values. A file of testdata is therefore never rewritten to make a
// test pass. A new type gets its files by
//
//	go test ./internal/testbeds/compatibility -record
//
// which writes the files that do not exist yet and leaves all others as they are. See testdata/README.md.
//
// A new field of a type that is sampled already gets the next free CBOR number and omitempty, so that processes of both
// versions understand each other. It is named in laterFields: the samples of before then leave it at zero, and -record writes
// a further one, NAME.later, in which it is set.
package compatibility
