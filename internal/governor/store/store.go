// Package store persists a governor's state for its next start in a bbolt file. Each write is a transaction, and each value
// has a checksum. Disk errors are logged and do not affect serving.
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

// Errors that callers distinguish.
var (
	ErrLocked      = errors.New("another process has it open")
	ErrDamaged     = errors.New("damaged")
	ErrNewerSchema = errors.New("written by a newer version")
	ErrNotExist    = errors.New("there is none")
)

// Store is an open state file. Its methods must not be called concurrently.
type Store struct {
	db      *bbolt.DB
	path    string
	written map[string][]byte // stored values of the replicas, by name
}

// Path returns the path of the store in dir.
func Path(dir string) string { return filepath.Join(dir, fileName) }

// Open opens the store in dir for writing and reads its state. A damaged file is renamed, not deleted, and replaced by an
// empty one; damaged then describes the damage. A file that is locked, has a newer schema or cannot be opened is left
// unchanged, and err is set.
func Open(dir string, now time.Time) (s *Store, state recovery.State, damaged error, err error) {
	path := Path(dir)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, state, nil, fmt.Errorf("state.dir: %w", err)
	}
	s, state, err = openStore(path)
	if !errors.Is(err, ErrDamaged) {
		return s, state, nil, err
	}
	renamed := fmt.Sprintf("%s.damaged-%s", path, now.UTC().Format("20060102T150405.000"))
	if renameErr := os.Rename(path, renamed); renameErr != nil {
		return nil, recovery.State{}, err, fmt.Errorf("renaming the damaged file: %w", renameErr)
	}
	damaged = fmt.Errorf("%w; set aside as %s", err, filepath.Base(renamed))
	s, state, err = openStore(path)
	return s, state, damaged, err
}

// openStore opens a file, creates or migrates it, and reads its state.
func openStore(path string) (*Store, recovery.State, error) {
	db, err := openDatabase(path, false)
	if err != nil {
		return nil, recovery.State{}, err
	}
	s := &Store{db: db, path: path, written: map[string][]byte{}}
	var state recovery.State
	err = recoverFaults(func() error { return db.Update(s.migrate) })
	if err == nil {
		state, err = s.readAll()
	}
	if err != nil {
		closeDatabase(db)
		return nil, recovery.State{}, err
	}
	return s, state, nil
}

// readAll reads the state. One damaged value invalidates all of it, because the rest would be an incomplete endpoint list.
func (s *Store) readAll() (state recovery.State, err error) {
	err = recoverFaults(func() error {
		return s.db.View(func(tx *bbolt.Tx) error {
			state, err = s.readState(tx)
			return err
		})
	})
	return state, err
}

func (s *Store) readState(tx *bbolt.Tx) (recovery.State, error) {
	meta, replicas := tx.Bucket(metaBucket), tx.Bucket(replicaBucket)
	if meta == nil || replicas == nil {
		return recovery.State{}, fmt.Errorf("%w: a bucket is missing", ErrDamaged)
	}
	encoded := meta.Get(headerKey)
	if encoded == nil {
		return recovery.State{}, nil // a new file
	}
	var h header
	if err := decodeValue(encoded, &h); err != nil {
		return recovery.State{}, err
	}
	state := h.state()
	err := replicas.ForEach(func(name, encoded []byte) error {
		var record replicaRecord
		if err := decodeValue(encoded, &record); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		s.written[string(name)] = slices.Clone(encoded)
		state.Replicas = append(state.Replicas, record.replica(string(name)))
		return nil
	})
	if err == nil && len(state.Replicas) != h.Replicas {
		err = fmt.Errorf("%w: found %d replicas, the header counts %d", ErrDamaged, len(state.Replicas), h.Replicas)
	}
	return state, err
}

// Write replaces the state in one transaction, which writes only the changes. It returns the size of the values written.
func (s *Store) Write(state recovery.State) (bytes int, err error) {
	values := make(map[string][]byte, len(state.Replicas))
	for _, r := range state.Replicas {
		if values[r.Name], err = encodeValue(recordOf(r)); err != nil {
			return 0, err
		}
	}
	encodedHeader, err := encodeValue(headerOf(state))
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

// updateReplicas writes the values that have changed and deletes those of removed replicas. It returns the size of the values
// written.
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

// Close closes the file. The Store must not be used afterwards.
func (s *Store) Close() error { return recoverFaults(s.db.Close) }
