package simulation

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"os"
	"slices"

	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/internal/daemons/statestore"
)

// sectorSize is the unit of atomic writes.
const sectorSize = 512

var (
	errNoSpace     = errors.New("no space left on device")
	errInputOutput = errors.New("input/output error")
)

// disk is a simulated disk beneath the production state store. Operations are queued in pending and applied by the
// cluster, one after the other, with a delay each. After a power loss a file has its last synced content plus an
// arbitrary subset of the sectors written since. A file name is durable once its directory was synced.
type disk struct {
	files   map[string]*file
	pending []diskOperation

	full               bool // writes are cut short
	failing            bool // writes and syncs return errors
	stalled            bool // pending operations are not applied
	skipsDirectorySync bool // the planted bug SkipDirectorySync

	revision        uint64 // incremented whenever the durable content may have changed
	durable         *coordinator.PersistentState
	durableRevision uint64 // 1 + the revision at which durable was computed
}

type file struct {
	synced   []byte
	content  []byte          // including unsynced writes
	unsynced []diskOperation // writes since the last sync
	named    bool            // the directory was synced after the file was created
}

// diskOperationKind identifies a diskOperation.
type diskOperationKind string

const (
	diskCreate        diskOperationKind = "create"
	diskWrite         diskOperationKind = "write"
	diskSync          diskOperationKind = "sync"
	diskSyncDirectory diskOperationKind = "folder"
	diskRename        diskOperationKind = "rename"
)

type diskOperation struct {
	kind   diskOperationKind
	name   string
	to     string // new name, for diskRename
	offset int
	data   []byte
}

// isSync reports whether the operation flushes data to the medium.
func (o diskOperation) isSync() bool { return o.kind == diskSync || o.kind == diskSyncDirectory }

func newDisk() *disk { return &disk{files: map[string]*file{}} }

// ReadFile returns the content of a file, including unsynced writes.
func (d *disk) ReadFile(name string) ([]byte, error) {
	if f := d.files[name]; f != nil {
		return slices.Clone(f.content), nil
	}
	return nil, &fs.PathError{Op: "open", Path: name, Err: os.ErrNotExist}
}

// OpenForWrite opens a file for writing and creates it if it does not exist.
func (d *disk) OpenForWrite(name string) (statestore.File, error) {
	if d.failing {
		return nil, errInputOutput
	}
	d.pending = append(d.pending, diskOperation{kind: diskCreate, name: name})
	return fileHandle{d, name}, nil
}

func (d *disk) Rename(from, to string) error {
	d.pending = append(d.pending, diskOperation{kind: diskRename, name: from, to: to})
	return nil
}

// SyncDirectory makes the names of all files durable.
func (d *disk) SyncDirectory() error {
	d.pending = append(d.pending, diskOperation{kind: diskSyncDirectory})
	return nil
}

type fileHandle struct {
	disk *disk
	name string
}

// WriteAt queues a write. On a full disk it accepts a third of the data.
func (h fileHandle) WriteAt(p []byte, offset int64) (int, error) {
	n := len(p)
	if h.disk.full {
		n /= 3
	}
	h.disk.pending = append(h.disk.pending, diskOperation{kind: diskWrite, name: h.name, offset: int(offset), data: slices.Clone(p[:n])})
	if n < len(p) {
		return n, errNoSpace
	}
	return n, nil
}

// Sync queues a sync of the file.
func (h fileHandle) Sync() error {
	if h.disk.failing {
		return errInputOutput
	}
	h.disk.pending = append(h.disk.pending, diskOperation{kind: diskSync, name: h.name})
	return nil
}

// Close does nothing.
func (h fileHandle) Close() error { return nil }

// overwrite returns a copy of old with data written at offset, extended as needed.
func overwrite(old []byte, offset int, data []byte) []byte {
	b := make([]byte, max(len(old), offset+len(data)))
	copy(b, old)
	copy(b[offset:], data)
	return b
}

func (d *disk) apply(o diskOperation) {
	f := d.files[o.name]
	if o.kind != diskWrite {
		d.revision++
	}
	switch o.kind {
	case diskCreate:
		if f == nil {
			d.files[o.name] = &file{}
		}
	case diskWrite:
		f.content = overwrite(f.content, o.offset, o.data)
		f.unsynced = append(f.unsynced, o)
	case diskSync:
		f.synced, f.unsynced = f.content, nil
	case diskSyncDirectory:
		for _, f := range d.files {
			f.named = f.named || !d.skipsDirectorySync
		}
	case diskRename:
		if f != nil {
			delete(d.files, o.name)
			d.files[o.to] = f
		}
	}
}

// processKilled drops pending operations, except for a random prefix of a write in progress.
func (d *disk) processKilled(random *rand.Rand) {
	if len(d.pending) > 0 && d.pending[0].kind == diskWrite {
		o := d.pending[0]
		o.data = o.data[:random.IntN(len(o.data)+1)]
		d.apply(o)
	}
	d.pending = nil
}

// powerLost keeps synced data and a random subset of unsynced sectors and file names.
func (d *disk) powerLost(random *rand.Rand) {
	d.processKilled(random)
	d.revision++
	losesAll := random.IntN(2) == 0
	for _, name := range sortedKeys(d.files) {
		f := d.files[name]
		if !f.named && (losesAll || random.IntN(2) == 0) {
			delete(d.files, name)
			continue
		}
		if !losesAll {
			f.synced = f.tornContent(random)
		}
		f.content, f.unsynced = f.synced, nil
	}
}

// tornContent returns the synced content with a random subset of the sectors written since.
func (f *file) tornContent(random *rand.Rand) []byte {
	b := f.synced
	for _, o := range f.unsynced {
		for from := 0; from < len(o.data); from += sectorSize {
			if random.IntN(2) == 0 {
				end := min(from+sectorSize, len(o.data))
				b = overwrite(b, o.offset+from, o.data[from:end])
			}
		}
	}
	return b
}

func (d *disk) wipe() {
	d.files, d.pending = map[string]*file{}, nil
	d.revision++
}

// afterPowerLoss returns the disk as a power loss would leave it if all unsynced data were lost.
func (d *disk) afterPowerLoss() *disk {
	after := newDisk()
	for name, f := range d.files {
		if f.named {
			after.files[name] = &file{synced: f.synced, content: f.synced, named: true}
		}
	}
	return after
}

// durableState returns the state that would survive a power loss, or nil.
func (d *disk) durableState() *coordinator.PersistentState {
	if d.durableRevision == d.revision+1 {
		return d.durable
	}
	d.durable, d.durableRevision = d.readDurableState(), d.revision+1
	return d.durable
}

func (d *disk) readDurableState() *coordinator.PersistentState {
	store, err := statestore.Open(d.afterPowerLoss())
	if err != nil {
		return nil
	}
	var found *coordinator.PersistentState
	if raw, ok := store.Get(stateKey); ok {
		if state, err := coordinator.DecodePersistentState(raw); err == nil {
			found = &state
		}
	}
	if err := store.Close(); err != nil {
		return nil
	}
	return found
}

// size returns the total size of all files in bytes.
func (d *disk) size() (bytes int) {
	for _, f := range d.files {
		bytes += len(f.content)
	}
	return bytes
}
