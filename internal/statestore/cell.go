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
	magic  = "zcell1\n\x00"
	header = len(magic) + 3*8
	most   = 64 << 20 // a file above this is not ours
)

// File is what is needed of an open file.
type File interface {
	WriteAt(p []byte, off int64) (int, error)
	Sync() error
	Close() error
}

// Disk is what is needed of a file system.
type Disk interface {
	ReadFile(name string) ([]byte, error)
	Create(name string) (File, error) // opens for writing, made if it is not there
	Rename(from, to string) error
	SyncFolder() error
}

// Folder is a Disk in a directory.
type Folder string

func (d Folder) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(string(d), name))
}

func (d Folder) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(string(d), name), os.O_WRONLY|os.O_CREATE, 0o600)
}

func (d Folder) Rename(from, to string) error {
	return os.Rename(filepath.Join(string(d), from), filepath.Join(string(d), to))
}

func (d Folder) SyncFolder() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Cell is an open store. Its calls are not made side by side.
type Cell struct {
	disk Disk
	db   *buntdb.DB
	gen  uint64
	slot int     // written next: the one that does not hold the newest good copy
	made [2]bool // this process has synced the folder since it wrote there first

	// SetAside names damaged files that were put by when the store was opened.
	SetAside []string
}

func slotName(i int) string { return fmt.Sprintf("cell.%d", i) }

// Open reads what is there. An empty disk gives an empty store.
func Open(disk Disk) (*Cell, error) {
	c := &Cell{disk: disk}
	for i := range 2 {
		raw, err := disk.ReadFile(slotName(i))
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return nil, merry.Prepend(err, "reading "+slotName(i))
		}
		gen, db, err := decode(raw)
		if err != nil {
			if len(raw) > 0 {
				aside := fmt.Sprintf("%s.damaged.%d", slotName(i), time.Now().UnixNano())
				if err := disk.Rename(slotName(i), aside); err == nil {
					c.SetAside = append(c.SetAside, aside)
				}
			}
			continue
		}
		if gen > c.gen || c.db == nil {
			c.Close()
			c.gen, c.db, c.slot = gen, db, 1-i
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
	if len(raw) < header || len(raw) > most || string(raw[:len(magic)]) != magic {
		return 0, nil, merry.New("no header")
	}
	word := func(i int) uint64 { return binary.BigEndian.Uint64(raw[len(magic)+8*i:]) }
	gen, size, sum := word(0), word(1), word(2)
	if size > uint64(len(raw)-header) {
		return 0, nil, merry.New("cut short")
	}
	body := raw[header : header+int(size)]
	if sum != checksum(gen, body) {
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

func checksum(gen uint64, body []byte) uint64 {
	h := xxhash.New()
	h.Write(binary.BigEndian.AppendUint64(nil, gen))
	h.Write(body)
	return h.Sum64()
}

// Close frees what the store holds in memory; the files are as the last Put left them.
func (c *Cell) Close() error {
	if c.db == nil {
		return nil
	}
	return c.db.Close()
}

// Copy is what one file of a store holds.
type Copy struct {
	Name   string
	Number uint64            // of the write; the highest is the newest
	Values map[string][]byte // nil where the file is damaged
	Err    error
}

// Inspect reads a store's files without changing anything, also files that were set aside. It works beside a running
// process: a copy that is being written shows as damaged.
func Inspect(folder string) ([]Copy, error) {
	names, err := filepath.Glob(filepath.Join(folder, "cell.*"))
	if err != nil {
		return nil, err
	}
	var all []Copy
	for _, name := range names {
		c := Copy{Name: filepath.Base(name)}
		raw, err := os.ReadFile(name)
		if err != nil {
			c.Err = err
			all = append(all, c)
			continue
		}
		gen, db, err := decode(raw)
		if c.Number, c.Err = gen, err; err == nil {
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
func (c *Cell) Get(key string) (value []byte, ok bool) {
	c.db.View(func(tx *buntdb.Tx) error {
		s, err := tx.Get(key)
		value, ok = []byte(s), err == nil
		return nil
	})
	return
}

// Put sets values; they are on stable storage when it returns without an error. After an error the copy kept before
// still stands, and the next Put writes all.
func (c *Cell) Put(values map[string][]byte) error {
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
	raw := append(make([]byte, 0, header+body.Len()), magic...)
	for _, w := range []uint64{c.gen + 1, uint64(body.Len()), checksum(c.gen+1, body.Bytes())} {
		raw = binary.BigEndian.AppendUint64(raw, w)
	}
	raw = append(raw, body.Bytes()...)
	name := slotName(c.slot)
	f, err := c.disk.Create(name)
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
	if err == nil && !c.made[c.slot] {
		err = c.disk.SyncFolder()
	}
	if err != nil {
		return merry.Prepend(err, "writing "+name)
	}
	c.made[c.slot] = true
	c.gen, c.slot = c.gen+1, 1-c.slot
	return nil
}
