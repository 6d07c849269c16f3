// Package statestore keeps a process's durable state on disk: a small set of keys and values, written completely into one of
// two files, cell.0 and cell.1, alternately.
//
// The values are held in an in-memory buntdb database; a file is a header with a checksum, and the database as its Save writes
// it. Buntdb's own file is not used because it does not report a sync that fails, and refuses a file whose last write is
// damaged rather than torn. Here a write has been synced when Put returns without an error, and the file that was written
// before stays untouched until then, so that there is always one good copy. A damaged file is quarantined under another name,
// never deleted.
package statestore

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"time"

	"github.com/tidwall/buntdb"
)

// slotCount is how many files are written alternately.
const slotCount = 2

// Store is an open store. Its methods must not be called concurrently.
type Store struct {
	fileSystem      FileSystem
	db              *buntdb.DB
	generation      uint64          // of the newest good copy
	nextSlot        int             // is written next: the one that does not hold the newest good copy
	directorySynced [slotCount]bool // this process has synced the directory since it first wrote the slot's file

	// Quarantined names the damaged files that were renamed when the store was opened.
	Quarantined []string
}

// Open reads the newest good copy. Without one the store is empty. An error means that a file could not be read; it is a
// *FileError.
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

// openSlot reads the file of a slot and takes its content if it is the newest so far.
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

// quarantine renames a damaged file. An empty one holds nothing to keep. A file that cannot be renamed stays and is overwritten
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

// Close frees what the store holds in memory. The files stay as the last Put left them.
func (s *Store) Close() error {
	if s.db == nil {
		return nil
	}
	return s.db.Close()
}

// Get returns the value of a key, and whether there is one.
func (s *Store) Get(key string) ([]byte, bool) {
	var value []byte
	err := s.db.View(func(tx *buntdb.Tx) error {
		text, err := tx.Get(key)
		value = []byte(text)
		return err
	})
	return value, err == nil
}

// Put sets values and writes the whole store. They are on stable storage when it returns without an error. After an error,
// which is a *FileError where a file is concerned, the copy written before is still valid, and the next Put writes everything.
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

// writeFile writes the next slot's file and syncs it and, the first time, its directory.
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
	// A new file lasts once its directory is synced. One that was there already may be new too: a process that was killed
	// before it synced the directory leaves a name that a loss of power takes away, with all that was written to it since.
	if s.directorySynced[s.nextSlot] {
		return nil
	}
	return s.fileSystem.SyncDirectory()
}

// closeInMemory frees a database that is not needed any more. It has no file, so that there is nothing to flush: its Close fails
// only if it is closed already.
func closeInMemory(db *buntdb.DB) { _ = db.Close() }
