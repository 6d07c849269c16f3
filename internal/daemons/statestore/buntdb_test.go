package statestore

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/tidwall/buntdb"
)

// TestBuntdbFileBehavior records why buntdb's own file is not used here. It fails with a version that behaves otherwise.
func TestBuntdbFileBehavior(t *testing.T) {
	Convey("Given a file of buntdb with two values", t, func() {
		path := filepath.Join(t.TempDir(), "db")
		set := func(key, value string) {
			db, err := buntdb.Open(path)
			So(err, ShouldBeNil)
			So(db.Update(func(tx *buntdb.Tx) error { _, _, err := tx.Set(key, value, nil); return err }), ShouldBeNil)
			So(db.Close(), ShouldBeNil)
		}
		get := func(key string) (string, error) {
			db, err := buntdb.Open(path)
			if err != nil {
				return "", err
			}
			defer func() { So(db.Close(), ShouldBeNil) }()
			var value string
			err = db.View(func(tx *buntdb.Tx) error { value, err = tx.Get(key); return err })
			return value, err
		}
		set("a", "one")
		set("b", "two")
		raw, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		Convey("a torn tail is cut silently: the value is gone, the file opens", func() {
			So(os.WriteFile(path, raw[:len(raw)-3], 0o600), ShouldBeNil)
			value, err := get("a")
			So(err, ShouldBeNil)
			So(value, ShouldEqual, "one")
			_, err = get("b")
			So(err, ShouldEqual, buntdb.ErrNotFound)
		})
		Convey("a damaged frame in the middle makes it refuse the whole file", func() {
			damaged := append([]byte(nil), raw...)
			damaged[0] = 'x'
			So(os.WriteFile(path, damaged, 0o600), ShouldBeNil)
			_, err := get("a")
			So(err, ShouldNotBeNil)
		})
		Convey("a damaged value is taken for the value", func() {
			damaged := append([]byte(nil), raw...)
			for i := range damaged {
				if string(damaged[i:i+3]) == "two" {
					damaged[i] = 'T'
					break
				}
			}
			So(os.WriteFile(path, damaged, 0o600), ShouldBeNil)
			value, err := get("b")
			So(err, ShouldBeNil)
			So(value, ShouldEqual, "Two")
		})
	})
}
