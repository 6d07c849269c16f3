package statestore

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/tidwall/buntdb"
)

// FileCopy is the content of one file of a store.
type FileCopy struct {
	Name       string
	Generation uint64            // increases with each write
	Values     map[string][]byte // nil if the file could not be read or decoded
	Err        error             // why the file could not be read or decoded
}

// Inspect reads all files of the store in a directory, including quarantined ones, without modifying them. It may be called
// while another process uses the store; a file that is being written then appears corrupted.
func Inspect(directory string) ([]FileCopy, error) {
	paths, err := filepath.Glob(filepath.Join(directory, "cell.*"))
	if err != nil {
		return nil, fmt.Errorf("listing the files of %s: %w", directory, err)
	}
	var copies []FileCopy
	for _, path := range paths {
		copies = append(copies, inspectFile(path))
	}
	return copies, nil
}

func inspectFile(path string) FileCopy {
	fileCopy := FileCopy{Name: filepath.Base(path)}
	raw, err := os.ReadFile(path)
	if err != nil {
		fileCopy.Err = err
		return fileCopy
	}
	generation, db, err := decodeFile(raw)
	if err != nil {
		fileCopy.Err = err
		return fileCopy
	}
	defer closeInMemory(db)
	fileCopy.Generation, fileCopy.Values = generation, map[string][]byte{}
	fileCopy.Err = db.View(func(tx *buntdb.Tx) error {
		return tx.Ascend("", func(key, value string) bool {
			fileCopy.Values[key] = []byte(value)
			return true
		})
	})
	return fileCopy
}
