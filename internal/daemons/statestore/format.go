package statestore

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/buntdb"
)

// A file is fileMagic, three big-endian 64-bit numbers (generation, size of the body in bytes, checksum) and the body. It may be
// longer than that: a shorter copy is written over a longer one without truncating it.
const (
	fileMagic   = "zcell1\n\x00"
	headerSize  = len(fileMagic) + 3*8
	maxFileSize = 64 << 20 // bytes; a larger file was not written by this package
)

// What may be wrong with a file's content.
var (
	ErrBadHeader = errors.New("no valid header")
	ErrTruncated = errors.New("file is truncated")
	ErrChecksum  = errors.New("checksum differs")
)

// slotFileName returns the file name of a slot. It keeps the name that earlier builds gave it, as members read files which those
// wrote.
func slotFileName(slot int) string { return fmt.Sprintf("cell.%d", slot) }

// encodeFile makes a file of a generation and a body.
func encodeFile(generation uint64, body []byte) []byte {
	raw := append(make([]byte, 0, headerSize+len(body)), fileMagic...)
	for _, number := range []uint64{generation, uint64(len(body)), bodyChecksum(generation, body)} {
		raw = binary.BigEndian.AppendUint64(raw, number)
	}
	return append(raw, body...)
}

// decodeFile returns a file's generation and its content as an in-memory database, which the caller has to close.
func decodeFile(raw []byte) (uint64, *buntdb.DB, error) {
	if len(raw) < headerSize || len(raw) > maxFileSize || string(raw[:len(fileMagic)]) != fileMagic {
		return 0, nil, ErrBadHeader
	}
	number := func(i int) uint64 { return binary.BigEndian.Uint64(raw[len(fileMagic)+8*i:]) }
	generation, size, checksum := number(0), number(1), number(2)
	if size > uint64(len(raw)-headerSize) {
		return 0, nil, ErrTruncated
	}
	body := raw[headerSize : headerSize+int(size)]
	if checksum != bodyChecksum(generation, body) {
		return 0, nil, ErrChecksum
	}
	db, err := buntdb.Open(":memory:")
	if err != nil {
		return 0, nil, fmt.Errorf("opening an in-memory database: %w", err)
	}
	if err := db.Load(bytes.NewReader(body)); err != nil {
		closeInMemory(db)
		return 0, nil, fmt.Errorf("loading the body: %w", err)
	}
	return generation, db, nil
}

// bodyChecksum covers the generation and the body.
func bodyChecksum(generation uint64, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, generation)) // a hash never returns an error
	_, _ = digest.Write(body)
	return digest.Sum64()
}
