package store

import (
	"errors"
	"fmt"
	"io/fs"
	"runtime/debug"
	"strings"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// lockTimeout bounds the wait for the file's lock. The lock of a killed process outlives it while its memory is torn down,
// which takes a while on a busy machine.
const lockTimeout = 3 * time.Second

// recoverFaults runs f and converts what bbolt does on a file with invalid pages, a panic or a fault in mapped memory, into
// an error that wraps ErrDamaged.
func recoverFaults(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", ErrDamaged, p)
		}
	}()
	return f()
}

// openDatabase opens a file and locks it. Its errors wrap ErrLocked, ErrNotExist or ErrDamaged where one of them applies.
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
	case isDamage(err):
		return nil, fmt.Errorf("%s: %w: %w", path, ErrDamaged, err)
	}
	return nil, fmt.Errorf("%s: %w", path, err)
}

// isDamage reports whether an error of opening a file means that its content is invalid.
func isDamage(err error) bool {
	for _, damage := range []error{bolterrors.ErrInvalid, bolterrors.ErrChecksum, bolterrors.ErrVersionMismatch, ErrDamaged} {
		if errors.Is(err, damage) {
			return true
		}
	}
	return strings.Contains(err.Error(), "file size too small") // bbolt has no error value for it
}

// closeDatabase closes a database whose content has been read, or has been given up because of an error that is returned
// instead.
func closeDatabase(db *bbolt.DB) { _ = recoverFaults(db.Close) }
