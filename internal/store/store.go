// Package store keeps on disk what a governor's next life can use, in a bbolt file: one writer at a time, each write a
// transaction, each value with a checksum of its own. Trouble with the disk never reaches a decision: whatever is wrong is
// told once, and the governor serves.
package store

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"zincloft.example/zincloft/recovery"
	"zincloft.example/zincloft/rules"
)

// SchemaVersion is the version of the file's form. Version 1 had the whole in one value; 2 has a value a replica, so that only
// what changed is written.
const SchemaVersion = 2

const (
	fileName      = "state.db"
	lockTimeout   = 3 * time.Second // a killed process's lock outlives it while its memory is torn down, on a busy machine
	checksumBytes = 8
)

var (
	metaBucket    = []byte("meta")
	replicaBucket = []byte("replicas")
	schemaKey     = []byte("schema")
	headerKey     = []byte("head")
	schema1Key    = []byte("whole") // version 1
)

// Errors that callers tell apart.
var (
	ErrLocked      = errors.New("another process has it open")
	ErrDamaged     = errors.New("damaged")
	ErrNewerSchema = errors.New("written by a newer version")
	ErrNotExist    = errors.New("there is none")
)

// Store is an open file.
type Store struct {
	db      *bbolt.DB
	path    string
	written map[string][]byte // replicas as written last, framed
}

// header is what is kept beside the replicas.
type header struct {
	Governor  string          `json:"governor"`
	Discovery string          `json:"discovery"`
	Version   uint64          `json:"version"`
	Heard     rules.Time      `json:"heard_ns"`
	Written   rules.Time      `json:"written_ns"`
	Next      rules.ReplicaID `json:"next"`
	Replicas  int             `json:"replicas"`
}

// replicaRecord is one replica's value.
type replicaRecord struct {
	Number  rules.ReplicaID `json:"number"`
	Zone    rules.ZoneID    `json:"zone"`
	Kind    rules.KindID    `json:"kind"`
	Cell    rules.CellID    `json:"cell"`
	State   rules.State     `json:"state"`
	Listed  float64         `json:"weight"`
	Started rules.Time      `json:"started_ns"`
	Speed   float64         `json:"speed,omitempty"`
	Answers float64         `json:"answers,omitempty"`
	Out     bool            `json:"held_out,omitempty"`
}

// schema1State is the value of version 1.
type schema1State struct {
	header
	All map[string]replicaRecord `json:"all"`
}

// Path is a store's file in a folder.
func Path(dir string) string { return filepath.Join(dir, fileName) }

// encodeValue puts a checksum before a value.
func encodeValue(v any) ([]byte, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encoding: %w", err)
	}
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(text)), text...), nil
}

// decodeValue reads a value whose checksum holds.
func decodeValue(b []byte, v any) error {
	if len(b) < checksumBytes || binary.BigEndian.Uint64(b) != xxhash.Sum64(b[checksumBytes:]) {
		return fmt.Errorf("%w: a value without its checksum", ErrDamaged)
	}
	if err := json.Unmarshal(b[checksumBytes:], v); err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return nil
}

// recoverFaults turns what bbolt does on a file whose pages are not what they should be, a panic or a fault in mapped memory, into
// an error.
func recoverFaults(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", ErrDamaged, p)
		}
	}()
	return f()
}

// openDatabase opens a file, readonly or for writing.
func openDatabase(path string, readOnly bool) (db *bbolt.DB, err error) {
	err = recoverFaults(func() error {
		db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, ReadOnly: readOnly})
		return err
	})
	switch {
	case err == nil:
		return db, nil
	case errors.Is(err, bolterrors.ErrTimeout):
		return nil, fmt.Errorf("%s: %w", path, ErrLocked)
	case errors.Is(err, fs.ErrNotExist):
		return nil, fmt.Errorf("%s: %w", path, ErrNotExist)
	case errors.Is(err, bolterrors.ErrInvalid), errors.Is(err, bolterrors.ErrChecksum), errors.Is(err, bolterrors.ErrVersionMismatch), errors.Is(err, ErrDamaged),
		strings.Contains(err.Error(), "file size too small"):
		return nil, fmt.Errorf("%s: %w: %w", path, ErrDamaged, err)
	}
	return nil, fmt.Errorf("%s: %w", path, err)
}

// Open opens a folder's store for writing and reads what it keeps. A file that is damaged is set aside, never deleted, and
// an empty one takes its place; damaged says what was wrong. One that is locked, or newer, or can't be opened at all is
// left as it is, and there is no store.
func Open(dir string, now time.Time) (s *Store, kept recovery.State, damaged error, err error) {
	path := Path(dir)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, kept, nil, fmt.Errorf("state.dir: %w", err)
	}
	for try := 0; ; try++ {
		s, kept, err = openStore(path)
		if !errors.Is(err, ErrDamaged) || try > 0 {
			return s, kept, damaged, err
		}
		aside := fmt.Sprintf("%s.damaged-%s", path, now.UTC().Format("20060102T150405.000"))
		if moved := os.Rename(path, aside); moved != nil {
			return nil, recovery.State{}, err, fmt.Errorf("setting aside: %w", moved)
		}
		damaged = fmt.Errorf("%w; set aside as %s", err, filepath.Base(aside))
	}
}

func openStore(path string) (s *Store, kept recovery.State, err error) {
	db, err := openDatabase(path, false)
	if err != nil {
		return nil, kept, err
	}
	s = &Store{db: db, path: path, written: map[string][]byte{}}
	err = recoverFaults(func() error { return db.Update(s.migrate) })
	if err == nil {
		kept, err = s.readAll()
	}
	if err != nil {
		_ = recoverFaults(db.Close) // the first error tells
		return nil, recovery.State{}, err
	}
	return s, kept, nil
}

// migrate makes a file of an older form, or an empty one, into one of ours.
func (s *Store) migrate(tx *bbolt.Tx) error {
	meta, err := tx.CreateBucketIfNotExists(metaBucket)
	if err != nil {
		return fmt.Errorf("the bucket %s: %w", metaBucket, err)
	}
	replicas, err := tx.CreateBucketIfNotExists(replicaBucket)
	if err != nil {
		return fmt.Errorf("the bucket %s: %w", replicaBucket, err)
	}
	schema := 0
	if b := meta.Get(schemaKey); b != nil {
		if err := decodeValue(b, &schema); err != nil {
			return err
		}
	}
	switch schema {
	case SchemaVersion:
		return nil
	case 0:
	case 1:
		var w schema1State
		if err := decodeValue(meta.Get(schema1Key), &w); err != nil {
			return err
		}
		for name, r := range w.All {
			if err := putValue(replicas, []byte(name), r); err != nil {
				return err
			}
		}
		w.Replicas = len(w.All)
		if err := putValue(meta, headerKey, w.header); err != nil {
			return err
		}
		if err := meta.Delete(schema1Key); err != nil {
			return fmt.Errorf("deleting: %w", err)
		}
	default:
		return fmt.Errorf("%s: %w: schema %d, ours is %d", s.path, ErrNewerSchema, schema, SchemaVersion)
	}
	return putValue(meta, schemaKey, SchemaVersion)
}

func putValue(b *bbolt.Bucket, key []byte, v any) error {
	framed, err := encodeValue(v)
	if err != nil {
		return err
	}
	if err := b.Put(key, framed); err != nil {
		return fmt.Errorf("writing %s: %w", key, err)
	}
	return nil
}

// readAll reads all that is kept. One value that is damaged makes the whole so: what is left would be a list with holes.
func (s *Store) readAll() (kept recovery.State, err error) {
	err = recoverFaults(func() error {
		return s.db.View(func(tx *bbolt.Tx) error {
			meta, replicas := tx.Bucket(metaBucket), tx.Bucket(replicaBucket)
			if meta == nil || replicas == nil {
				return fmt.Errorf("%w: it lacks its buckets", ErrDamaged)
			}
			b := meta.Get(headerKey)
			if b == nil {
				return nil // new
			}
			var h header
			if err := decodeValue(b, &h); err != nil {
				return err
			}
			kept = recovery.State{Governor: h.Governor, Discovery: h.Discovery, Version: h.Version, ConfirmedAt: h.Heard, WrittenAt: h.Written, NextReplicaID: h.Next}
			err := replicas.ForEach(func(name, v []byte) error {
				var r replicaRecord
				if err := decodeValue(v, &r); err != nil {
					return fmt.Errorf("%s: %w", name, err)
				}
				s.written[string(name)] = slices.Clone(v)
				kept.Replicas = append(kept.Replicas, recovery.Replica{Name: string(name), Entry: rules.Entry{Replica: r.Number, Zone: r.Zone, Kind: r.Kind,
					Cell: r.Cell, State: r.State, Listed: r.Listed, StartedAt: r.Started},
					Learned: rules.Recalled{Replica: r.Number, Speed: r.Speed, Answers: r.Answers, Out: r.Out}})
				return nil
			})
			if err == nil && len(kept.Replicas) != h.Replicas {
				err = fmt.Errorf("%w: %d replicas where there were %d", ErrDamaged, len(kept.Replicas), h.Replicas)
			}
			return err
		})
	})
	return kept, err
}

// Write keeps k, in one transaction that holds what has changed. It returns the bytes of values written.
func (s *Store) Write(k recovery.State) (bytes int, err error) {
	now := make(map[string][]byte, len(k.Replicas))
	for _, r := range k.Replicas {
		e := r.Entry
		now[r.Name], err = encodeValue(replicaRecord{Number: e.Replica, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, State: e.State, Listed: e.Listed, Started: e.StartedAt,
			Speed: r.Learned.Speed, Answers: r.Learned.Answers, Out: r.Learned.Out})
		if err != nil {
			return 0, err
		}
	}
	top, err := encodeValue(header{Governor: k.Governor, Discovery: k.Discovery, Version: k.Version, Heard: k.ConfirmedAt, Written: k.WrittenAt, Next: k.NextReplicaID, Replicas: len(k.Replicas)})
	if err != nil {
		return 0, err
	}
	err = recoverFaults(func() error {
		return s.db.Update(func(tx *bbolt.Tx) error {
			replicas := tx.Bucket(replicaBucket)
			for name, b := range now {
				if string(s.written[name]) == string(b) {
					continue
				}
				if err := replicas.Put([]byte(name), b); err != nil {
					return fmt.Errorf("writing %s: %w", name, err)
				}
				bytes += len(b)
			}
			for name := range s.written {
				if now[name] == nil {
					if err := replicas.Delete([]byte(name)); err != nil {
						return fmt.Errorf("deleting %s: %w", name, err)
					}
				}
			}
			bytes += len(top)
			return tx.Bucket(metaBucket).Put(headerKey, top)
		})
	})
	if err != nil {
		return 0, fmt.Errorf("%s: %w", s.path, err)
	}
	s.written = now
	return bytes, nil
}

// Close ends it.
func (s *Store) Close() error { return recoverFaults(s.db.Close) }

// Read reads a folder's store without changing it. It fails with ErrLocked while a governor runs on it.
func Read(dir string) (kept recovery.State, err error) {
	db, err := openDatabase(Path(dir), true)
	if err != nil {
		return kept, err
	}
	s := &Store{db: db, path: Path(dir), written: map[string][]byte{}}
	defer s.Close()
	err = recoverFaults(func() error {
		return db.View(func(tx *bbolt.Tx) error {
			schema := 0
			if meta := tx.Bucket(metaBucket); meta != nil {
				if err := decodeValue(meta.Get(schemaKey), &schema); err != nil {
					return err
				}
			}
			if schema > SchemaVersion {
				return fmt.Errorf("%w: schema %d, ours is %d", ErrNewerSchema, schema, SchemaVersion)
			}
			if schema < SchemaVersion {
				return fmt.Errorf("schema %d: a governor brings it to %d at its next start", schema, SchemaVersion)
			}
			return nil
		})
	})
	if err != nil {
		return kept, err
	}
	return s.readAll()
}

// Verify reads a folder's store whole, its pages too.
func Verify(dir string) (replicas int, err error) {
	kept, err := Read(dir)
	if err != nil {
		return 0, err
	}
	db, err := openDatabase(Path(dir), true)
	if err != nil {
		return 0, err
	}
	defer func() { _ = recoverFaults(db.Close) }()
	err = recoverFaults(func() error {
		return db.View(func(tx *bbolt.Tx) error {
			var first error
			for err := range tx.Check() { // to its end, as what it reads from is ours
				if first == nil {
					first = fmt.Errorf("%w: %w", ErrDamaged, err)
				}
			}
			return first
		})
	})
	return len(kept.Replicas), err
}

// Compact writes a folder's store anew without its free pages, and puts the new file in the old one's place in one step. It
// tells the sizes before and after.
func Compact(dir string) (before, after int64, err error) {
	path := Path(dir)
	db, err := openDatabase(path, false)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = recoverFaults(db.Close) }()
	to := path + ".compact"
	if err := os.Remove(to); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return 0, 0, fmt.Errorf("an earlier try: %w", err)
	}
	fresh, err := openDatabase(to, false)
	if err != nil {
		return 0, 0, err
	}
	const txBytes = 1 << 20
	err = recoverFaults(func() error { return bbolt.Compact(fresh, db, txBytes) })
	if closed := fresh.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return 0, 0, fmt.Errorf("compacting: %w", err)
	}
	size := func(path string) int64 {
		info, err := os.Stat(path)
		if err != nil {
			return 0
		}
		return info.Size()
	}
	before, after = size(path), size(to)
	if err := os.Rename(to, path); err != nil {
		return 0, 0, fmt.Errorf("compacting: %w", err)
	}
	return before, after, nil
}
