// Package statestore stores a process's durable state on disk as a small set of key-value pairs. Each write saves the complete
// state to one of two files, cell.0 and cell.1, alternately.
//
// The values are held in an in-memory buntdb database. A file consists of a header with a checksum and the output of buntdb's
// Save. Buntdb's own file persistence is not used because it does not report failed syncs, returns corrupted values without an
// error, and rejects the whole file if a record is malformed. When Put returns without an error, the file has been synced. The
// previous file is not modified until then, so there is always one valid copy. A corrupted file is renamed, never deleted.
package statestore

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"time"

	"github.com/tidwall/buntdb"
)

// slotCount is the number of files that are written alternately.
const slotCount = 2

// Store is an open store. It is not safe for concurrent use.
type Store struct {
	fileSystem      FileSystem
	db              *buntdb.DB
	generation      uint64          // generation of the newest valid copy
	nextSlot        int             // the slot to write next, which does not hold the newest valid copy
	directorySynced [slotCount]bool // whether this process has synced the directory since it first wrote the slot's file

	// Quarantined lists the new names of the corrupted files that Open renamed.
	Quarantined []string
}

// Open loads the newest valid copy. If there is none, the store is empty. A file that cannot be read causes a *FileError.
func Open(fileSystem FileSystem) (*Store, error) {
	store := &Store{fileSystem: fileSystem}
	for slot := range slotCount {
		if err := store.openSlot(slot); err != nil {
			return nil, err
		}
	}
	if store.db == nil {
		db, err := buntdb.Open(":memory:")
		if err != nil {
			return nil, fmt.Errorf("opening an empty store: %w", err)
		}
		store.db = db
	}
	return store, nil
}

// openSlot loads the file of a slot if it is valid and newer than what has been loaded so far.
func (s *Store) openSlot(slot int) error {
	name := slotFileName(slot)
	raw, err := s.fileSystem.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return &FileError{Op: "reading", Name: name, Err: err}
	}
	generation, db, err := decodeFile(raw)
	if err != nil {
		s.quarantine(name, len(raw))
		return nil
	}
	if s.db != nil && generation <= s.generation {
		closeInMemory(db)
		return nil
	}
	if s.db != nil {
		closeInMemory(s.db)
	}
	s.generation, s.db, s.nextSlot = generation, db, slotCount-1-slot
	return nil
}

// quarantine renames a corrupted file to preserve its content, unless it is empty. A file that cannot be renamed is overwritten
// by a later Put.
func (s *Store) quarantine(name string, size int) {
	if size == 0 {
		return
	}
	quarantined := fmt.Sprintf("%s.damaged.%d", name, time.Now().UnixNano())
	if err := s.fileSystem.Rename(name, quarantined); err == nil {
		s.Quarantined = append(s.Quarantined, quarantined)
	}
}

// Close releases the in-memory database. It does not change the files.
func (s *Store) Close() error {
	if s.db == nil {
		return nil
	}
	return s.db.Close()
}

// Get returns the value of a key and whether the key exists.
func (s *Store) Get(key string) ([]byte, bool) {
	var value []byte
	err := s.db.View(func(tx *buntdb.Tx) error {
		text, err := tx.Get(key)
		value = []byte(text)
		return err
	})
	return value, err == nil
}

// Put sets values and writes the complete store. When it returns nil, the values are on stable storage. If a file operation
// fails, it returns a *FileError; the previous copy stays valid, and the next Put writes the complete store again.
func (s *Store) Put(values map[string][]byte) error {
	err := s.db.Update(func(tx *buntdb.Tx) error {
		for key, value := range values {
			if _, _, err := tx.Set(key, string(value), nil); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("setting values: %w", err)
	}
	var body bytes.Buffer
	if err := s.db.Save(&body); err != nil {
		return fmt.Errorf("encoding the store: %w", err)
	}
	name := slotFileName(s.nextSlot)
	if err := s.writeFile(name, encodeFile(s.generation+1, body.Bytes())); err != nil {
		return &FileError{Op: "writing", Name: name, Err: err}
	}
	s.directorySynced[s.nextSlot] = true
	s.generation, s.nextSlot = s.generation+1, slotCount-1-s.nextSlot
	return nil
}

// writeFile writes and syncs the next slot's file and, on the first write to the slot, syncs the directory.
func (s *Store) writeFile(name string, raw []byte) error {
	file, err := s.fileSystem.OpenForWrite(name)
	if err != nil {
		return err
	}
	if _, err = file.WriteAt(raw, 0); err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	// A new file survives a power loss only after its directory has been synced. This applies to an existing file too: a previous
	// process may have been killed between creating the file and syncing the directory.
	if s.directorySynced[s.nextSlot] {
		return nil
	}
	return s.fileSystem.SyncDirectory()
}

// closeInMemory closes an in-memory database. Close has nothing to flush and fails only if the database is already closed.
func closeInMemory(db *buntdb.DB) { _ = db.Close() }
