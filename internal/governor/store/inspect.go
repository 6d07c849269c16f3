package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"go.etcd.io/bbolt"

	"zincloft.example/zincloft/recovery"
)

const compactTransactionBytes = 1 << 20 // copied in one transaction of Compact

// Read reads the store of a folder without changing it. It fails with ErrLocked while a governor has it open.
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

// Verify reads all of a folder's store, its free pages too, and returns the number of replicas that it keeps.
func Verify(dir string) (replicas int, err error) {
	kept, err := Read(dir)
	if err != nil {
		return 0, err
	}
	db, err := openDatabase(Path(dir), true)
	if err != nil {
		return 0, err
	}
	defer closeDatabase(db)
	err = recoverFaults(func() error { return db.View(checkPages) })
	return len(kept.Replicas), err
}

// checkPages returns the first error that bbolt's check finds. It reads all of them, as the check ends only then.
func checkPages(tx *bbolt.Tx) error {
	var first error
	for err := range tx.Check() {
		if first == nil {
			first = fmt.Errorf("%w: %w", ErrDamaged, err)
		}
	}
	return first
}

// Compact rewrites a folder's store without its free pages and replaces the file in one step. It returns the sizes before
// and after in bytes.
func Compact(dir string) (before, after int64, err error) {
	path := Path(dir)
	db, err := openDatabase(path, false)
	if err != nil {
		return 0, 0, err
	}
	defer closeDatabase(db)
	compacted := path + ".compact"
	if err := os.Remove(compacted); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return 0, 0, fmt.Errorf("an earlier try: %w", err)
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

// fileSize returns the size of a file, 0 where it can't be told.
func fileSize(path string) int64 {
	info, err := os.Stat(path)
	if err != nil {
		return 0
	}
	return info.Size()
}
