package statestore

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/tidwall/buntdb"
)

// TestBuntdbFileBehavior documents why buntdb's own file persistence is not used. It fails if a new version behaves differently.
func TestBuntdbFileBehavior(t *testing.T) {
	Convey("Given a buntdb file with two values", t, func() {
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
		Convey("a torn last write is dropped silently: the file opens without the value", func() {
			So(os.WriteFile(path, raw[:len(raw)-3], 0o600), ShouldBeNil)
			value, err := get("a")
			So(err, ShouldBeNil)
			So(value, ShouldEqual, "one")
			_, err = get("b")
			So(err, ShouldEqual, buntdb.ErrNotFound)
		})
		Convey("a corrupted record in the middle makes Open reject the whole file", func() {
			corrupted := append([]byte(nil), raw...)
			corrupted[0] = 'x'
			So(os.WriteFile(path, corrupted, 0o600), ShouldBeNil)
			_, err := get("a")
			So(err, ShouldNotBeNil)
		})
		Convey("a corrupted value is returned without an error", func() {
			corrupted := append([]byte(nil), raw...)
			for i := range corrupted {
				if string(corrupted[i:i+3]) == "two" {
					corrupted[i] = 'T'
					break
				}
			}
			So(os.WriteFile(path, corrupted, 0o600), ShouldBeNil)
			value, err := get("b")
			So(err, ShouldBeNil)
			So(value, ShouldEqual, "Two")
		})
	})
}
