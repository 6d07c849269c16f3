package statestore

import (
	"fmt"
	"os"
	"path/filepath"
)

// FileSystem is what the store needs of the directory that holds its files. Names are relative to that directory.
type FileSystem interface {
	// ReadFile returns a file's content, or an error that is fs.ErrNotExist if there is none.
	ReadFile(name string) ([]byte, error)

	// OpenForWrite opens a file for writing, without truncating it, and creates it if it is missing.
	OpenForWrite(name string) (File, error)

	Rename(from, to string) error

	// SyncDirectory makes the names of created and renamed files last.
	SyncDirectory() error
}

// File is what the store needs of an open file.
type File interface {
	WriteAt(p []byte, offset int64) (int, error)
	Sync() error
	Close() error
}

// FileError says which file an operation of the store failed on.
type FileError struct {
	Op   string // "reading" or "writing"
	Name string // relative to the store's directory
	Err  error
}

func (e *FileError) Error() string { return fmt.Sprintf("%s %s: %v", e.Op, e.Name, e.Err) }

// Unwrap returns the operating system's error.
func (e *FileError) Unwrap() error { return e.Err }

// Directory is the FileSystem of a directory on disk.
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
