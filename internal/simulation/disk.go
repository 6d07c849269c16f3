package simulation

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"os"
	"slices"

	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/internal/statestore"
)

const sectorSize = 512

// disk is a simulated one beneath the real store. What the store does is taken down as operations, which the world
// carries out one after the other, each in its time. A file holds what its last sync covered; of what was written after
// that, a loss of power leaves any part, torn at sectors, or none. A name lasts once its folder was synced.
type disk struct {
	files           map[string]*file
	pending         []diskOperation
	full            bool // writes end part way through
	failing         bool // writes and syncs fail
	stalled         bool
	skipsFolderSync bool // fault: the folder's sync does nothing

	revision, durableRevision uint64 // moves with what a loss of power would leave, and when kept was read
	durable                   *coordinator.PersistentState
}

type file struct {
	synced   []byte
	content  []byte
	unsynced []diskOperation // since the last sync
	durable  bool
}

type diskOperation struct {
	kind   string // create, write, sync, folder, rename
	name   string
	to     string
	offset int
	data   []byte
}

func newDisk() *disk { return &disk{files: map[string]*file{}} }

var (
	errNoSpace     = errors.New("no space left on device")
	errInputOutput = errors.New("input/output error")
)

func (d *disk) ReadFile(name string) ([]byte, error) {
	if f := d.files[name]; f != nil {
		return slices.Clone(f.content), nil
	}
	return nil, &fs.PathError{Op: "open", Path: name, Err: os.ErrNotExist}
}

type fileHandle struct {
	disk *disk
	name string
}

func (d *disk) OpenForWrite(name string) (statestore.File, error) {
	if d.failing {
		return nil, errInputOutput
	}
	d.pending = append(d.pending, diskOperation{kind: "create", name: name})
	return fileHandle{d, name}, nil
}

func (h fileHandle) WriteAt(p []byte, off int64) (int, error) {
	n := len(p)
	if h.disk.full {
		n /= 3
	}
	h.disk.pending = append(h.disk.pending, diskOperation{kind: "write", name: h.name, offset: int(off), data: slices.Clone(p[:n])})
	if n < len(p) {
		return n, errNoSpace
	}
	return n, nil
}

func (h fileHandle) Sync() error {
	if h.disk.failing {
		return errInputOutput
	}
	h.disk.pending = append(h.disk.pending, diskOperation{kind: "sync", name: h.name})
	return nil
}

func (h fileHandle) Close() error { return nil }

func (d *disk) Rename(from, to string) error {
	d.pending = append(d.pending, diskOperation{kind: "rename", name: from, to: to})
	return nil
}

func (d *disk) SyncDirectory() error {
	d.pending = append(d.pending, diskOperation{kind: "folder"})
	return nil
}

func overwrite(old []byte, off int, data []byte) []byte {
	b := make([]byte, max(len(old), off+len(data)))
	copy(b, old)
	copy(b[off:], data)
	return b
}

// apply does one operation.
func (d *disk) apply(o diskOperation) {
	f := d.files[o.name]
	if o.kind != "write" {
		d.revision++
	}
	switch o.kind {
	case "create":
		if f == nil {
			d.files[o.name] = &file{}
		}
	case "write":
		f.content = overwrite(f.content, o.offset, o.data)
		f.unsynced = append(f.unsynced, o)
	case "sync":
		f.synced, f.unsynced = f.content, nil
	case "folder":
		for _, f := range d.files {
			f.durable = f.durable || !d.skipsFolderSync
		}
	case "rename":
		if f != nil {
			delete(d.files, o.name)
			d.files[o.to] = f
		}
	}
}

// processKilled leaves the files as the process left them, the operation at hand half done.
func (d *disk) processKilled(r *rand.Rand) {
	if len(d.pending) > 0 && d.pending[0].kind == "write" {
		o := d.pending[0]
		o.data = o.data[:r.IntN(len(o.data)+1)]
		d.apply(o)
	}
	d.pending = nil
}

// powerLost loses what was not synced, in part or whole.
func (d *disk) powerLost(r *rand.Rand) {
	d.processKilled(r)
	d.revision++
	none := r.IntN(2) == 0 // some losses take all of it away
	for _, name := range sortedKeys(d.files) {
		f := d.files[name]
		if !f.durable && (none || r.IntN(2) == 0) {
			delete(d.files, name)
			continue
		}
		b := f.synced
		for _, o := range f.unsynced {
			for from := 0; from < len(o.data) && !none; from += sectorSize {
				if r.IntN(2) == 0 {
					end := min(from+sectorSize, len(o.data))
					b = overwrite(b, o.offset+from, o.data[from:end])
				}
			}
		}
		f.synced, f.content, f.unsynced = b, b, nil
	}
}

// afterPowerLoss is what would be on disk if power went now and took all away that may go.
func (d *disk) afterPowerLoss() *disk {
	n := newDisk()
	for name, f := range d.files {
		if f.durable {
			n.files[name] = &file{synced: f.synced, content: f.synced, durable: true}
		}
	}
	return n
}

// durableState is what a comb would find after a loss of power; nil: nothing.
func (d *disk) durableState() *coordinator.PersistentState {
	if d.durableRevision == d.revision+1 {
		return d.durable
	}
	d.durable, d.durableRevision = nil, d.revision+1
	store, err := statestore.Open(d.afterPowerLoss())
	if err != nil {
		return nil
	}
	defer store.Close()
	if raw, ok := store.Get(stateKey); ok {
		if k, err := coordinator.DecodePersistentState(raw); err == nil {
			d.durable = &k
		}
	}
	return d.durable
}
