package statestore

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func value(store *Store) string {
	raw, _ := store.Get("k")
	return string(raw)
}

func put(store *Store, value string) error { return store.Put(map[string][]byte{"k": []byte(value)}) }

func TestStoreSurvivesFailedWrites(t *testing.T) {
	Convey("Given a store with two writes", t, func() {
		disk := newSimulatedDisk()
		store, err := Open(disk)
		So(err, ShouldBeNil)
		So(value(store), ShouldEqual, "")
		So(put(store, "one"), ShouldBeNil)
		So(put(store, "two, which is longer"), ShouldBeNil)

		Convey("both writes survive a power loss", func() {
			store, err = Open(disk.afterPowerLoss(0))
			So(err, ShouldBeNil)
			So(value(store), ShouldEqual, "two, which is longer")
		})
		Convey("a write torn at any byte leaves either the previous or the new value", func() {
			disk.failing = "sync"
			So(put(store, "three, longer than all of those that came before it"), ShouldNotBeNil)
			for tornAt := 1; tornAt < 400; tornAt++ {
				store, err = Open(disk.afterPowerLoss(tornAt))
				So(err, ShouldBeNil)
				So(value(store), ShouldBeIn, "two, which is longer", "three, longer than all of those that came before it")
			}
		})
		Convey("a failed operation is reported and the previous value is kept", func() {
			for _, disk.failing = range []string{"open", "write", "sync"} {
				disk.partialWrite = 30
				err := put(store, "lost")
				So(err, ShouldNotBeNil)
				var fileError *FileError
				So(errors.As(err, &fileError), ShouldBeTrue)
				So(fileError.Name, ShouldEqual, "cell.0")
				So(put(store, "lost again"), ShouldNotBeNil)
				reopened, err := Open(disk.afterPowerLoss(0))
				So(err, ShouldBeNil)
				So(value(reopened), ShouldEqual, "two, which is longer")
			}
			Convey("writes succeed again once the disk recovers", func() {
				disk.failing = ""
				So(put(store, "four"), ShouldBeNil)
				store, err = Open(disk.afterPowerLoss(0))
				So(err, ShouldBeNil)
				So(value(store), ShouldEqual, "four")
			})
		})
		Convey("a corrupted file is quarantined, not deleted, and the other copy is used", func() {
			for _, content := range disk.written {
				if bytes.Contains(content, []byte("two")) {
					content[len(content)-8] ^= 1
				}
			}
			store, err = Open(disk)
			So(err, ShouldBeNil)
			So(value(store), ShouldEqual, "one")
			So(len(store.Quarantined), ShouldEqual, 1)
			_, err = disk.ReadFile(store.Quarantined[0])
			So(err, ShouldBeNil)
			So(put(store, "five"), ShouldBeNil)
			store, err = Open(disk.afterPowerLoss(0))
			So(err, ShouldBeNil)
			So(value(store), ShouldEqual, "five")
		})
	})
}

func TestStoreSyncsItsDirectory(t *testing.T) {
	Convey("The directory of a new file is synced before the first Put returns", t, func() {
		disk := newSimulatedDisk()
		store, err := Open(disk)
		So(err, ShouldBeNil)
		So(put(store, "one"), ShouldBeNil)
		store, err = Open(disk.afterPowerLoss(0))
		So(err, ShouldBeNil)
		So(value(store), ShouldEqual, "one")
	})
	Convey("A file created by a process that was killed before syncing the directory survives a power loss after the next write", t, func() {
		disk := newSimulatedDisk()
		store, err := Open(disk)
		So(err, ShouldBeNil)
		So(put(store, "one"), ShouldBeNil)
		disk.directorySynced = map[string]bool{} // simulates a process killed before syncing the directory
		for _, written := range []string{"two", "three", "four"} {
			store, err := Open(disk)
			So(err, ShouldBeNil)
			So(put(store, written), ShouldBeNil)
			store, err = Open(disk.afterPowerLoss(0))
			So(err, ShouldBeNil)
			So(value(store), ShouldEqual, written)
			disk.directorySynced = map[string]bool{}
		}
	})
	Convey("Written values are read back from a real directory", t, func() {
		directory := Directory(t.TempDir())
		store, err := Open(directory)
		So(err, ShouldBeNil)
		for i := range 10 {
			So(put(store, fmt.Sprint(i)), ShouldBeNil)
		}
		store, err = Open(directory)
		So(err, ShouldBeNil)
		So(value(store), ShouldEqual, "9")
	})
}

// TestDecodeFileRejectsCorruption checks the error for each kind of corruption, which Inspect shows to operators.
func TestDecodeFileRejectsCorruption(t *testing.T) {
	good := encodeFile(7, []byte("body"))
	flipped := bytes.Clone(good)
	flipped[len(flipped)-1] ^= 1
	otherGeneration := bytes.Clone(good)
	otherGeneration[len(fileMagic)] ^= 1
	for _, test := range []struct {
		name string
		raw  []byte
		want error
	}{
		{"empty", nil, ErrBadHeader},
		{"truncated header", good[:headerSize-1], ErrBadHeader},
		{"unrelated file", bytes.Repeat([]byte("x"), 100), ErrBadHeader},
		{"truncated body", good[:len(good)-1], ErrTruncated},
		{"flipped bit in the body", flipped, ErrChecksum},
		{"flipped bit in the generation", otherGeneration, ErrChecksum},
	} {
		if _, _, err := decodeFile(test.raw); !errors.Is(err, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, err, test.want)
		}
	}
}
