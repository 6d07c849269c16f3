package statestore

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/buntdb"
)

// A file consists of fileMagic, three big-endian 64-bit integers (generation, body size in bytes, checksum) and the body. Trailing
// bytes are ignored, because a file is overwritten without being truncated.
const (
	fileMagic   = "zcell1\n\x00"
	headerSize  = len(fileMagic) + 3*8
	maxFileSize = 64 << 20 // bytes
)

// Reasons why a file's content is invalid.
var (
	ErrBadHeader = errors.New("invalid file header")
	ErrTruncated = errors.New("file is truncated")
	ErrChecksum  = errors.New("checksum mismatch")
)

// slotFileName returns the file name of a slot. The name must not change, because existing stores use it.
func slotFileName(slot int) string { return fmt.Sprintf("cell.%d", slot) }

func encodeFile(generation uint64, body []byte) []byte {
	raw := append(make([]byte, 0, headerSize+len(body)), fileMagic...)
	for _, number := range []uint64{generation, uint64(len(body)), bodyChecksum(generation, body)} {
		raw = binary.BigEndian.AppendUint64(raw, number)
	}
	return append(raw, body...)
}

// decodeFile returns a file's generation and its content as an in-memory database, which the caller must close.
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
		return 0, nil, fmt.Errorf("loading the file body: %w", err)
	}
	return generation, db, nil
}

// bodyChecksum returns the checksum of the generation and the body.
func bodyChecksum(generation uint64, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, generation)) // never returns an error
	_, _ = digest.Write(body)
	return digest.Sum64()
}
