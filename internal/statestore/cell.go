// Package statestore keeps a process's lasting state on disk: a buntdb database, written whole by its Save into one of
// two files by turns and read by its Load.
//
// Why not buntdb's own file: it does not tell when a sync fails, and refuses a file whose last write is damaged
// rather than torn. Here a write has been synced when Put returns without an error, and the file written before is
// untouched until then, so that one good copy is always left. A damaged file is set aside, never deleted.
package statestore

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/buntdb"
)

const (
	fileMagic   = "zcell1\n\x00"
	headerSize  = len(fileMagic) + 3*8
	maxFileSize = 64 << 20 // a file above this is not ours
)

// File is what is needed of an open file.
type File interface {
	WriteAt(p []byte, off int64) (int, error)
	Sync() error
	Close() error
}

// FileSystem is what is needed of a file system.
type FileSystem interface {
	ReadFile(name string) ([]byte, error)
	OpenForWrite(name string) (File, error) // opens for writing, made if it is not there
	Rename(from, to string) error
	SyncDirectory() error
}

// Directory is a Disk in a directory.
type Directory string

func (d Directory) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(string(d), name))
}

func (d Directory) OpenForWrite(name string) (File, error) {
	return os.OpenFile(filepath.Join(string(d), name), os.O_WRONLY|os.O_CREATE, 0o600)
}

func (d Directory) Rename(from, to string) error {
	return os.Rename(filepath.Join(string(d), from), filepath.Join(string(d), to))
}

func (d Directory) SyncDirectory() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Store is an open store. Its calls are not made side by side.
type Store struct {
	fileSystem      FileSystem
	db              *buntdb.DB
	generation      uint64
	nextSlot        int     // written next: the one that does not hold the newest good copy
	directorySynced [2]bool // this process has synced the folder since it wrote there first

	// SetAside names damaged files that were put by when the store was opened.
	Quarantined []string
}

func slotFileName(i int) string { return fmt.Sprintf("cell.%d", i) }

// Open reads what is there. An empty disk gives an empty store.
func Open(disk FileSystem) (*Store, error) {
	c := &Store{fileSystem: disk}
	for i := range 2 {
		raw, err := disk.ReadFile(slotFileName(i))
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return nil, merry.Prepend(err, "reading "+slotFileName(i))
		}
		gen, db, err := decode(raw)
		if err != nil {
			if len(raw) > 0 {
				aside := fmt.Sprintf("%s.damaged.%d", slotFileName(i), time.Now().UnixNano())
				if err := disk.Rename(slotFileName(i), aside); err == nil {
					c.Quarantined = append(c.Quarantined, aside)
				}
			}
			continue
		}
		if gen > c.generation || c.db == nil {
			c.Close()
			c.generation, c.db, c.nextSlot = gen, db, 1-i
		} else {
			db.Close()
		}
	}
	if c.db == nil {
		db, err := buntdb.Open(":memory:")
		if err != nil {
			return nil, merry.Prepend(err, "opening the store")
		}
		c.db = db
	}
	return c, nil
}

func decode(raw []byte) (uint64, *buntdb.DB, error) {
	if len(raw) < headerSize || len(raw) > maxFileSize || string(raw[:len(fileMagic)]) != fileMagic {
		return 0, nil, merry.New("no header")
	}
	word := func(i int) uint64 { return binary.BigEndian.Uint64(raw[len(fileMagic)+8*i:]) }
	gen, size, sum := word(0), word(1), word(2)
	if size > uint64(len(raw)-headerSize) {
		return 0, nil, merry.New("cut short")
	}
	body := raw[headerSize : headerSize+int(size)]
	if sum != bodyChecksum(gen, body) {
		return 0, nil, merry.New("checksum differs")
	}
	db, err := buntdb.Open(":memory:")
	if err != nil {
		return 0, nil, err
	}
	if err := db.Load(bytes.NewReader(body)); err != nil {
		db.Close()
		return 0, nil, merry.Prepend(err, "loading")
	}
	return gen, db, nil
}

func bodyChecksum(gen uint64, body []byte) uint64 {
	h := xxhash.New()
	h.Write(binary.BigEndian.AppendUint64(nil, gen))
	h.Write(body)
	return h.Sum64()
}

// Close frees what the store holds in memory; the files are as the last Put left them.
func (c *Store) Close() error {
	if c.db == nil {
		return nil
	}
	return c.db.Close()
}

// FileCopy is what one file of a store holds.
type FileCopy struct {
	Name       string
	Generation uint64            // of the write; the highest is the newest
	Values     map[string][]byte // nil where the file is damaged
	Err        error
}

// Inspect reads a store's files without changing anything, also files that were set aside. It works beside a running
// process: a copy that is being written shows as damaged.
func Inspect(folder string) ([]FileCopy, error) {
	names, err := filepath.Glob(filepath.Join(folder, "cell.*"))
	if err != nil {
		return nil, err
	}
	var all []FileCopy
	for _, name := range names {
		c := FileCopy{Name: filepath.Base(name)}
		raw, err := os.ReadFile(name)
		if err != nil {
			c.Err = err
			all = append(all, c)
			continue
		}
		gen, db, err := decode(raw)
		if c.Generation, c.Err = gen, err; err == nil {
			c.Values = map[string][]byte{}
			db.View(func(tx *buntdb.Tx) error {
				return tx.Ascend("", func(k, v string) bool {
					c.Values[k] = []byte(v)
					return true
				})
			})
			db.Close()
		}
		all = append(all, c)
	}
	return all, nil
}

// Get returns a value, or none.
func (c *Store) Get(key string) (value []byte, ok bool) {
	c.db.View(func(tx *buntdb.Tx) error {
		s, err := tx.Get(key)
		value, ok = []byte(s), err == nil
		return nil
	})
	return
}

// Put sets values; they are on stable storage when it returns without an error. After an error the copy kept before
// still stands, and the next Put writes all.
func (c *Store) Put(values map[string][]byte) error {
	err := c.db.Update(func(tx *buntdb.Tx) error {
		for k, v := range values {
			if _, _, err := tx.Set(k, string(v), nil); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return merry.Prepend(err, "setting")
	}
	var body bytes.Buffer
	if err := c.db.Save(&body); err != nil {
		return merry.Prepend(err, "saving")
	}
	raw := append(make([]byte, 0, headerSize+body.Len()), fileMagic...)
	for _, w := range []uint64{c.generation + 1, uint64(body.Len()), bodyChecksum(c.generation+1, body.Bytes())} {
		raw = binary.BigEndian.AppendUint64(raw, w)
	}
	raw = append(raw, body.Bytes()...)
	name := slotFileName(c.nextSlot)
	f, err := c.fileSystem.OpenForWrite(name)
	if err != nil {
		return merry.Prepend(err, "opening "+name)
	}
	if _, err = f.WriteAt(raw, 0); err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	// A new file lasts once its folder is synced. One that was there already may be new too: a process that was killed
	// before it synced the folder leaves a name that a loss of power takes away, with all that was written to it since.
	if err == nil && !c.directorySynced[c.nextSlot] {
		err = c.fileSystem.SyncDirectory()
	}
	if err != nil {
		return merry.Prepend(err, "writing "+name)
	}
	c.directorySynced[c.nextSlot] = true
	c.generation, c.nextSlot = c.generation+1, 1-c.nextSlot
	return nil
}
