package statestore

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/tidwall/buntdb"
)

// FileCopy is what one file of a store holds.
type FileCopy struct {
	Name       string
	Generation uint64            // of the write; the highest is the newest
	Values     map[string][]byte // nil if the file is damaged
	Err        error             // why the file could not be read or decoded
}

// Inspect reads the files of the store in a directory, those that are quarantined included, without changing anything. It may
// run beside the process that owns the store: a copy that is just being written shows as damaged.
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
