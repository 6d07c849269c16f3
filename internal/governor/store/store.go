// Package store keeps on disk what a governor's next start can use, in a bbolt file: one writer at a time, each write a
// transaction, each value with a checksum of its own. Faults of the disk never reach a decision: they are logged, and the
// governor serves.
package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"go.etcd.io/bbolt"

	"zincloft.example/zincloft/recovery"
)

const fileName = "state.db"

// Errors that callers tell apart.
var (
	ErrLocked      = errors.New("another process has it open")
	ErrDamaged     = errors.New("damaged")
	ErrNewerSchema = errors.New("written by a newer version")
	ErrNotExist    = errors.New("there is none")
)

// Store is an open file. Its methods must not be called concurrently.
type Store struct {
	db      *bbolt.DB
	path    string
	written map[string][]byte // values of the replicas as last written or read, by name
}

// Path returns the file of the store in a folder.
func Path(dir string) string { return filepath.Join(dir, fileName) }

// Open opens the store of a folder for writing and reads what it keeps. A damaged file is renamed, never deleted, and an
// empty one takes its place; damaged then says what was wrong. A file that is locked, that has a newer schema, or that
// can't be opened is left as it is, and there is no store.
func Open(dir string, now time.Time) (s *Store, kept recovery.State, damaged error, err error) {
	path := Path(dir)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, kept, nil, fmt.Errorf("state.dir: %w", err)
	}
	s, kept, err = openStore(path)
	if !errors.Is(err, ErrDamaged) {
		return s, kept, nil, err
	}
	aside := fmt.Sprintf("%s.damaged-%s", path, now.UTC().Format("20060102T150405.000"))
	if renameErr := os.Rename(path, aside); renameErr != nil {
		return nil, recovery.State{}, err, fmt.Errorf("setting aside: %w", renameErr)
	}
	damaged = fmt.Errorf("%w; set aside as %s", err, filepath.Base(aside))
	s, kept, err = openStore(path)
	return s, kept, damaged, err
}

// openStore opens a file, creates or migrates it, and reads what it keeps.
func openStore(path string) (*Store, recovery.State, error) {
	db, err := openDatabase(path, false)
	if err != nil {
		return nil, recovery.State{}, err
	}
	s := &Store{db: db, path: path, written: map[string][]byte{}}
	var kept recovery.State
	err = recoverFaults(func() error { return db.Update(s.migrate) })
	if err == nil {
		kept, err = s.readAll()
	}
	if err != nil {
		closeDatabase(db)
		return nil, recovery.State{}, err
	}
	return s, kept, nil
}

// readAll reads the state. One damaged value makes all of it invalid: the rest would be an endpoint list with holes.
func (s *Store) readAll() (kept recovery.State, err error) {
	err = recoverFaults(func() error {
		return s.db.View(func(tx *bbolt.Tx) error {
			kept, err = s.readState(tx)
			return err
		})
	})
	return kept, err
}

func (s *Store) readState(tx *bbolt.Tx) (recovery.State, error) {
	meta, replicas := tx.Bucket(metaBucket), tx.Bucket(replicaBucket)
	if meta == nil || replicas == nil {
		return recovery.State{}, fmt.Errorf("%w: it lacks its buckets", ErrDamaged)
	}
	encoded := meta.Get(headerKey)
	if encoded == nil {
		return recovery.State{}, nil // a new file
	}
	var h header
	if err := decodeValue(encoded, &h); err != nil {
		return recovery.State{}, err
	}
	kept := h.state()
	err := replicas.ForEach(func(name, encoded []byte) error {
		var record replicaRecord
		if err := decodeValue(encoded, &record); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		s.written[string(name)] = slices.Clone(encoded)
		kept.Replicas = append(kept.Replicas, record.replica(string(name)))
		return nil
	})
	if err == nil && len(kept.Replicas) != h.Replicas {
		err = fmt.Errorf("%w: %d replicas where there were %d", ErrDamaged, len(kept.Replicas), h.Replicas)
	}
	return kept, err
}

// Write replaces the state in one transaction, which holds only what has changed. It returns the bytes of the values
// written.
func (s *Store) Write(k recovery.State) (bytes int, err error) {
	values := make(map[string][]byte, len(k.Replicas))
	for _, r := range k.Replicas {
		if values[r.Name], err = encodeValue(recordOf(r)); err != nil {
			return 0, err
		}
	}
	encodedHeader, err := encodeValue(headerOf(k))
	if err != nil {
		return 0, err
	}
	err = recoverFaults(func() error {
		return s.db.Update(func(tx *bbolt.Tx) error {
			bytes, err = s.updateReplicas(tx.Bucket(replicaBucket), values)
			if err != nil {
				return err
			}
			bytes += len(encodedHeader)
			return tx.Bucket(metaBucket).Put(headerKey, encodedHeader)
		})
	})
	if err != nil {
		return 0, fmt.Errorf("%s: %w", s.path, err)
	}
	s.written = values
	return bytes, nil
}

// updateReplicas puts the values that differ from those written and deletes those of replicas that are gone. It returns the
// bytes put.
func (s *Store) updateReplicas(replicas *bbolt.Bucket, values map[string][]byte) (bytes int, err error) {
	for name, value := range values {
		if string(s.written[name]) == string(value) {
			continue
		}
		if err := replicas.Put([]byte(name), value); err != nil {
			return 0, fmt.Errorf("writing %s: %w", name, err)
		}
		bytes += len(value)
	}
	for name := range s.written {
		if values[name] != nil {
			continue
		}
		if err := replicas.Delete([]byte(name)); err != nil {
			return 0, fmt.Errorf("deleting %s: %w", name, err)
		}
	}
	return bytes, nil
}

// Close closes the file. The Store must not be used after it.
func (s *Store) Close() error { return recoverFaults(s.db.Close) }
