package statestore

import (
	"errors"
	"io/fs"
	"os"
)

// simulatedDisk keeps files in memory. A file holds what was synced; of what was written after that any part may survive a loss
// of power.
type simulatedDisk struct {
	synced, written map[string][]byte
	directorySynced map[string]bool // names that the directory's last sync covered
	failing         string          // the operation that fails: "write", "sync", "open"
	partialWrite    int             // how many bytes a write that fails leaves
}

func newSimulatedDisk() *simulatedDisk {
	return &simulatedDisk{synced: map[string][]byte{}, written: map[string][]byte{}, directorySynced: map[string]bool{}}
}

var errIO = errors.New("input/output error")

func (d *simulatedDisk) ReadFile(name string) ([]byte, error) {
	content, ok := d.written[name]
	if !ok {
		return nil, &fs.PathError{Op: "open", Path: name, Err: os.ErrNotExist}
	}
	return content, nil
}

func (d *simulatedDisk) OpenForWrite(name string) (File, error) {
	if d.failing == "open" {
		return nil, errIO
	}
	if _, ok := d.written[name]; !ok {
		d.written[name] = nil
	}
	return &simulatedFile{d, name}, nil
}

func (d *simulatedDisk) Rename(from, to string) error {
	d.written[to] = d.written[from]
	delete(d.written, from)
	return nil
}

func (d *simulatedDisk) SyncDirectory() error {
	for name := range d.written {
		d.directorySynced[name] = true
	}
	return nil
}

// afterPowerLoss returns the disk as a loss of power would leave it: everything that was not synced is lost, except that of each
// file's last write the first tornAt bytes survive, over what stood there before.
func (d *simulatedDisk) afterPowerLoss(tornAt int) *simulatedDisk {
	after := newSimulatedDisk()
	for name, written := range d.written {
		if !d.directorySynced[name] {
			continue
		}
		content := append([]byte(nil), d.synced[name]...)
		if tornAt > 0 {
			torn := written[:min(tornAt, len(written))]
			if len(torn) > len(content) {
				content = append([]byte(nil), torn...)
			} else {
				copy(content, torn)
			}
		}
		after.written[name], after.synced[name], after.directorySynced[name] = content, content, true
	}
	return after
}

type simulatedFile struct {
	disk *simulatedDisk
	name string
}

func (f *simulatedFile) WriteAt(p []byte, offset int64) (int, error) {
	n := len(p)
	if f.disk.failing == "write" {
		n = min(f.disk.partialWrite, n)
	}
	previous := f.disk.written[f.name]
	content := make([]byte, max(len(previous), int(offset)+n))
	copy(content, previous)
	copy(content[offset:], p[:n])
	f.disk.written[f.name] = content
	if n < len(p) {
		return n, errors.New("no space left on device")
	}
	return n, nil
}

func (f *simulatedFile) Sync() error {
	if f.disk.failing == "sync" {
		return errIO
	}
	f.disk.synced[f.name] = append([]byte(nil), f.disk.written[f.name]...)
	return nil
}

func (f *simulatedFile) Close() error { return nil }
