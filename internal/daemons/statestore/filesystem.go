package statestore

import (
	"fmt"
	"os"
	"path/filepath"
)

// FileSystem provides the file operations of a store. Names are relative to the store's directory.
type FileSystem interface {
	// ReadFile returns a file's content. If the file does not exist, the error wraps fs.ErrNotExist.
	ReadFile(name string) ([]byte, error)

	// OpenForWrite opens a file for writing without truncating it, and creates it if it does not exist.
	OpenForWrite(name string) (File, error)

	Rename(from, to string) error

	// SyncDirectory syncs the directory, so that created and renamed files survive a power loss.
	SyncDirectory() error
}

// File is a file opened by FileSystem.OpenForWrite.
type File interface {
	WriteAt(p []byte, offset int64) (int, error)
	Sync() error
	Close() error
}

// FileError is a failed operation on a file of the store.
type FileError struct {
	Op   string // "reading" or "writing"
	Name string // relative to the store's directory
	Err  error
}

func (e *FileError) Error() string { return fmt.Sprintf("%s %s: %v", e.Op, e.Name, e.Err) }

// Unwrap returns the operating system's error.
func (e *FileError) Unwrap() error { return e.Err }

// Directory implements FileSystem for the directory at its path.
type Directory string

// ReadFile implements FileSystem.
func (d Directory) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

// OpenForWrite implements FileSystem.
func (d Directory) OpenForWrite(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_WRONLY|os.O_CREATE, 0o600)
}

// Rename implements FileSystem.
func (d Directory) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// SyncDirectory implements FileSystem.
func (d Directory) SyncDirectory() error {
	directory, err := os.Open(string(d))
	if err != nil {
		return err
	}
	err = directory.Sync()
	if closeErr := directory.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (d Directory) path(name string) string { return filepath.Join(string(d), name) }
