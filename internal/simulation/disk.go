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

const sector = 512

// disk is a simulated one beneath the real store. What the store does is taken down as operations, which the world
// carries out one after the other, each in its time. A file holds what its last sync covered; of what was written after
// that, a loss of power leaves any part, torn at sectors, or none. A name lasts once its folder was synced.
type disk struct {
	files   map[string]*file
	plan    []op
	full    bool // writes end part way through
	refuse  bool // writes and syncs fail
	stalled bool
	lax     bool // fault: the folder's sync does nothing

	rev, keptRev uint64 // moves with what a loss of power would leave, and when kept was read
	kept         *coordinator.PersistentState
}

type file struct {
	synced  []byte
	now     []byte
	writes  []op // since the last sync
	lasting bool
}

type op struct {
	kind string // create, write, sync, folder, rename
	name string
	to   string
	off  int
	data []byte
}

func newDisk() *disk { return &disk{files: map[string]*file{}} }

var (
	errFull   = errors.New("no space left on device")
	errRefuse = errors.New("input/output error")
)

func (d *disk) ReadFile(name string) ([]byte, error) {
	if f := d.files[name]; f != nil {
		return slices.Clone(f.now), nil
	}
	return nil, &fs.PathError{Op: "open", Path: name, Err: os.ErrNotExist}
}

type handle struct {
	d    *disk
	name string
}

func (d *disk) OpenForWrite(name string) (statestore.File, error) {
	if d.refuse {
		return nil, errRefuse
	}
	d.plan = append(d.plan, op{kind: "create", name: name})
	return handle{d, name}, nil
}

func (h handle) WriteAt(p []byte, off int64) (int, error) {
	n := len(p)
	if h.d.full {
		n /= 3
	}
	h.d.plan = append(h.d.plan, op{kind: "write", name: h.name, off: int(off), data: slices.Clone(p[:n])})
	if n < len(p) {
		return n, errFull
	}
	return n, nil
}

func (h handle) Sync() error {
	if h.d.refuse {
		return errRefuse
	}
	h.d.plan = append(h.d.plan, op{kind: "sync", name: h.name})
	return nil
}

func (h handle) Close() error { return nil }

func (d *disk) Rename(from, to string) error {
	d.plan = append(d.plan, op{kind: "rename", name: from, to: to})
	return nil
}

func (d *disk) SyncDirectory() error {
	d.plan = append(d.plan, op{kind: "folder"})
	return nil
}

func put(old []byte, off int, data []byte) []byte {
	b := make([]byte, max(len(old), off+len(data)))
	copy(b, old)
	copy(b[off:], data)
	return b
}

// carry does one operation.
func (d *disk) carry(o op) {
	f := d.files[o.name]
	if o.kind != "write" {
		d.rev++
	}
	switch o.kind {
	case "create":
		if f == nil {
			d.files[o.name] = &file{}
		}
	case "write":
		f.now = put(f.now, o.off, o.data)
		f.writes = append(f.writes, o)
	case "sync":
		f.synced, f.writes = f.now, nil
	case "folder":
		for _, f := range d.files {
			f.lasting = f.lasting || !d.lax
		}
	case "rename":
		if f != nil {
			delete(d.files, o.name)
			d.files[o.to] = f
		}
	}
}

// killed leaves the files as the process left them, the operation at hand half done.
func (d *disk) killed(r *rand.Rand) {
	if len(d.plan) > 0 && d.plan[0].kind == "write" {
		o := d.plan[0]
		o.data = o.data[:r.IntN(len(o.data)+1)]
		d.carry(o)
	}
	d.plan = nil
}

// power loses what was not synced, in part or whole.
func (d *disk) power(r *rand.Rand) {
	d.killed(r)
	d.rev++
	none := r.IntN(2) == 0 // some losses take all of it away
	for _, name := range sortedKeys(d.files) {
		f := d.files[name]
		if !f.lasting && (none || r.IntN(2) == 0) {
			delete(d.files, name)
			continue
		}
		b := f.synced
		for _, o := range f.writes {
			for from := 0; from < len(o.data) && !none; from += sector {
				if r.IntN(2) == 0 {
					end := min(from+sector, len(o.data))
					b = put(b, o.off+from, o.data[from:end])
				}
			}
		}
		f.synced, f.now, f.writes = b, b, nil
	}
}

// after is what would be on disk if power went now and took all away that may go.
func (d *disk) after() *disk {
	n := newDisk()
	for name, f := range d.files {
		if f.lasting {
			n.files[name] = &file{synced: f.synced, now: f.synced, lasting: true}
		}
	}
	return n
}

// lasting is what a comb would find after a loss of power; nil: nothing.
func (d *disk) lasting() *coordinator.PersistentState {
	if d.keptRev == d.rev+1 {
		return d.kept
	}
	d.kept, d.keptRev = nil, d.rev+1
	store, err := statestore.Open(d.after())
	if err != nil {
		return nil
	}
	defer store.Close()
	if raw, ok := store.Get(keptKey); ok {
		if k, err := coordinator.DecodePersistentState(raw); err == nil {
			d.kept = &k
		}
	}
	return d.kept
}
