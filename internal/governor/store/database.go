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

// lockTimeout limits the wait for the file lock. The lock of a killed process is released only when the kernel has torn the
// process down, which can take a while on a busy machine.
const lockTimeout = 3 * time.Second

// recoverFaults runs f and converts a panic or a fault in mapped memory, which bbolt raises on invalid pages, to an error that
// wraps ErrDamaged.
func recoverFaults(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", ErrDamaged, p)
		}
	}()
	return f()
}

// openDatabase opens and locks a file. Errors wrap ErrLocked, ErrNotExist or ErrDamaged where applicable.
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

// isDamage reports whether an error from opening a file means that its content is invalid.
func isDamage(err error) bool {
	for _, damage := range []error{bolterrors.ErrInvalid, bolterrors.ErrChecksum, bolterrors.ErrVersionMismatch, ErrDamaged} {
		if errors.Is(err, damage) {
			return true
		}
	}
	return strings.Contains(err.Error(), "file size too small") // bbolt has no error value for it
}

// closeDatabase closes a database after reading or after an earlier error. Its own error is ignored.
func closeDatabase(db *bbolt.DB) { _ = recoverFaults(db.Close) }
