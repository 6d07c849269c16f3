package statestore

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// simulatedDisk is a simulated one: files hold what was synced; of what was written after that any part may be left.
type simulatedDisk struct {
	synced, written map[string][]byte
	directorySynced map[string]bool // names that the folder's last sync covered
	fail            string          // the next write or sync that fails: "write", "sync", "open"
	cut             int             // writes keep so many bytes when they fail
}

func newDisk() *simulatedDisk {
	return &simulatedDisk{synced: map[string][]byte{}, written: map[string][]byte{}, directorySynced: map[string]bool{}}
}

type simulatedFile struct {
	d    *simulatedDisk
	name string
}

func (d *simulatedDisk) ReadFile(name string) ([]byte, error) {
	b, ok := d.written[name]
	if !ok {
		return nil, &fs.PathError{Op: "open", Path: name, Err: os.ErrNotExist}
	}
	return b, nil
}

func (d *simulatedDisk) OpenForWrite(name string) (File, error) {
	if d.fail == "open" {
		return nil, errors.New("input/output error")
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

func (f *simulatedFile) WriteAt(p []byte, off int64) (int, error) {
	n := len(p)
	if f.d.fail == "write" {
		n = min(f.d.cut, n)
	}
	old := f.d.written[f.name]
	b := make([]byte, max(len(old), int(off)+n))
	copy(b, old)
	copy(b[off:], p[:n])
	f.d.written[f.name] = b
	if n < len(p) {
		return n, errors.New("no space left on device")
	}
	return n, nil
}

func (f *simulatedFile) Sync() error {
	if f.d.fail == "sync" {
		return errors.New("input/output error")
	}
	f.d.synced[f.name] = append([]byte(nil), f.d.written[f.name]...)
	return nil
}

func (f *simulatedFile) Close() error { return nil }

// afterPowerLoss loses everything that was not synced; of each file's last write the first cut bytes stay, and what stood
// there before where it was longer.
func (d *simulatedDisk) afterPowerLoss(cut int) *simulatedDisk {
	n := newDisk()
	for name, now := range d.written {
		if !d.directorySynced[name] {
			continue
		}
		was := d.synced[name]
		b := append([]byte(nil), was...)
		if cut > 0 {
			torn := now[:min(cut, len(now))]
			if len(torn) > len(b) {
				b = append([]byte(nil), torn...)
			} else {
				copy(b, torn)
			}
		}
		n.written[name], n.synced[name], n.directorySynced[name] = b, b, true
	}
	return n
}

func value(c *Store) string {
	v, _ := c.Get("k")
	return string(v)
}

func put(c *Store, v string) error { return c.Put(map[string][]byte{"k": []byte(v)}) }

func TestStoreSurvivesFailedWrites(t *testing.T) {
	Convey("Given a store with two writes", t, func() {
		d := newDisk()
		c, err := Open(d)
		So(err, ShouldBeNil)
		So(value(c), ShouldEqual, "")
		So(put(c, "one"), ShouldBeNil)
		So(put(c, "two, which is longer"), ShouldBeNil)

		Convey("what was written is there after a loss of power", func() {
			c, err = Open(d.afterPowerLoss(0))
			So(err, ShouldBeNil)
			So(value(c), ShouldEqual, "two, which is longer")
		})
		Convey("a write that is torn at any byte leaves the one before", func() {
			d.fail = "sync"
			So(put(c, "three, longer than all of those that came before it"), ShouldNotBeNil)
			for cut := 1; cut < 400; cut++ {
				c, err = Open(d.afterPowerLoss(cut))
				So(err, ShouldBeNil)
				So(value(c), ShouldBeIn, "two, which is longer", "three, longer than all of those that came before it")
			}
		})
		Convey("a disk that is full, or refuses, tells so and loses nothing", func() {
			for _, d.fail = range []string{"open", "write", "sync"} {
				d.cut = 30
				So(put(c, "lost"), ShouldNotBeNil)
				So(put(c, "lost again"), ShouldNotBeNil)
				again, err := Open(d.afterPowerLoss(0))
				So(err, ShouldBeNil)
				So(value(again), ShouldEqual, "two, which is longer")
			}
			Convey("and takes writes again afterwards", func() {
				d.fail = ""
				So(put(c, "four"), ShouldBeNil)
				c, err = Open(d.afterPowerLoss(0))
				So(value(c), ShouldEqual, "four")
			})
		})
		Convey("a damaged file is set aside, not deleted, and the other one serves", func() {
			for name, b := range d.written {
				if string(b) != "" && bytesHave(b, "two") {
					b[len(b)-8] ^= 1
					d.written[name] = b
				}
			}
			c, err = Open(d)
			So(err, ShouldBeNil)
			So(value(c), ShouldEqual, "one")
			So(len(c.Quarantined), ShouldEqual, 1)
			_, err = d.ReadFile(c.Quarantined[0])
			So(err, ShouldBeNil)
			So(put(c, "five"), ShouldBeNil)
			c, err = Open(d.afterPowerLoss(0))
			So(value(c), ShouldEqual, "five")
		})
	})
	Convey("A new file lasts: its folder is synced before the first write counts", t, func() {
		d := newDisk()
		c, _ := Open(d)
		So(put(c, "one"), ShouldBeNil)
		c, err := Open(d.afterPowerLoss(0))
		So(err, ShouldBeNil)
		So(value(c), ShouldEqual, "one")
	})
	// Found by the apiary (gw-unsynced-name).
	Convey("A file that a killed process left without its folder synced lasts after the next one's writes", t, func() {
		d := newDisk()
		c, _ := Open(d)
		So(put(c, "one"), ShouldBeNil)
		d.directorySynced = map[string]bool{} // as if it had been killed before the folder's sync: the kernel still has all
		for _, v := range []string{"two", "three", "four"} {
			c, err := Open(d)
			So(err, ShouldBeNil)
			So(put(c, v), ShouldBeNil)
			c, err = Open(d.afterPowerLoss(0))
			So(err, ShouldBeNil)
			So(value(c), ShouldEqual, v)
			d.directorySynced = map[string]bool{}
		}
	})
	Convey("The same holds in a real folder", t, func() {
		dir := Directory(t.TempDir())
		c, err := Open(dir)
		So(err, ShouldBeNil)
		for i := range 10 {
			So(put(c, fmt.Sprint(i)), ShouldBeNil)
		}
		c, err = Open(dir)
		So(err, ShouldBeNil)
		So(value(c), ShouldEqual, "9")
	})
}

func bytesHave(b []byte, s string) bool {
	for i := 0; i+len(s) <= len(b); i++ {
		if string(b[i:i+len(s)]) == s {
			return true
		}
	}
	return false
}
