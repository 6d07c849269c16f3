package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"go.etcd.io/bbolt"

	"zincloft.example/zincloft/recovery"
)

const compactTransactionBytes = 1 << 20 // maximum size of a transaction of Compact

// Read reads the store in dir without changing it. It fails with ErrLocked while a governor has it open.
func Read(dir string) (recovery.State, error) {
	db, err := openDatabase(Path(dir), true)
	if err != nil {
		return recovery.State{}, err
	}
	defer closeDatabase(db)
	if err := recoverFaults(func() error { return db.View(checkSchema) }); err != nil {
		return recovery.State{}, err
	}
	s := &Store{db: db, path: Path(dir), written: map[string][]byte{}}
	return s.readAll()
}

// Verify reads the store in dir, checks all its pages, including free ones, and returns the number of replicas in it.
func Verify(dir string) (replicas int, err error) {
	state, err := Read(dir)
	if err != nil {
		return 0, err
	}
	db, err := openDatabase(Path(dir), true)
	if err != nil {
		return 0, err
	}
	defer closeDatabase(db)
	err = recoverFaults(func() error { return db.View(checkPages) })
	return len(state.Replicas), err
}

// checkPages returns the first error that bbolt's check finds. It drains the channel, as the check ends only then.
func checkPages(tx *bbolt.Tx) error {
	var first error
	for err := range tx.Check() {
		if first == nil {
			first = fmt.Errorf("%w: %w", ErrDamaged, err)
		}
	}
	return first
}

// Compact rewrites the store in dir without free pages and replaces the file atomically. It returns the file sizes before and
// after.
func Compact(dir string) (before, after int64, err error) {
	path := Path(dir)
	db, err := openDatabase(path, false)
	if err != nil {
		return 0, 0, err
	}
	defer closeDatabase(db)
	compacted := path + ".compact"
	if err := os.Remove(compacted); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return 0, 0, fmt.Errorf("removing the file of an earlier attempt: %w", err)
	}
	fresh, err := openDatabase(compacted, false)
	if err != nil {
		return 0, 0, err
	}
	err = recoverFaults(func() error { return bbolt.Compact(fresh, db, compactTransactionBytes) })
	if closeErr := fresh.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return 0, 0, fmt.Errorf("compacting: %w", err)
	}
	before, after = fileSize(path), fileSize(compacted)
	if err := os.Rename(compacted, path); err != nil {
		return 0, 0, fmt.Errorf("compacting: %w", err)
	}
	return before, after, nil
}

// fileSize returns the size of a file, or 0 if it cannot be determined.
func fileSize(path string) int64 {
	info, err := os.Stat(path)
	if err != nil {
		return 0
	}
	return info.Size()
}
