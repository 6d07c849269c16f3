package statestore

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/tidwall/buntdb"
)

// TestBuntdbFileBehavior keeps on record why its own file is not used here: a later version that behaves otherwise shows.
func TestBuntdbFileBehavior(t *testing.T) {
	Convey("Given a file of buntdb with two values", t, func() {
		path := filepath.Join(t.TempDir(), "db")
		set := func(k, v string) {
			db, err := buntdb.Open(path)
			So(err, ShouldBeNil)
			So(db.Update(func(tx *buntdb.Tx) error { _, _, err := tx.Set(k, v, nil); return err }), ShouldBeNil)
			So(db.Close(), ShouldBeNil)
		}
		get := func(k string) (string, error) {
			db, err := buntdb.Open(path)
			if err != nil {
				return "", err
			}
			defer db.Close()
			var v string
			err = db.View(func(tx *buntdb.Tx) error { v, err = tx.Get(k); return err })
			return v, err
		}
		set("a", "one")
		set("b", "two")
		raw, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		Convey("a torn tail is cut without a word: the value is gone, the file opens", func() {
			So(os.WriteFile(path, raw[:len(raw)-3], 0o600), ShouldBeNil)
			v, err := get("a")
			So(err, ShouldBeNil)
			So(v, ShouldEqual, "one")
			_, err = get("b")
			So(err, ShouldEqual, buntdb.ErrNotFound)
		})
		Convey("a damaged frame in the middle makes it refuse the whole file", func() {
			bad := append([]byte(nil), raw...)
			bad[0] = 'x'
			So(os.WriteFile(path, bad, 0o600), ShouldBeNil)
			_, err := get("a")
			So(err, ShouldNotBeNil)
		})
		Convey("a damaged value is taken for the value", func() {
			bad := append([]byte(nil), raw...)
			for i := range bad {
				if string(bad[i:i+3]) == "two" {
					bad[i] = 'T'
					break
				}
			}
			So(os.WriteFile(path, bad, 0o600), ShouldBeNil)
			v, err := get("b")
			So(err, ShouldBeNil)
			So(v, ShouldEqual, "Two")
		})
	})
}
