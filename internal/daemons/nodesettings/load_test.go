package nodesettings

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFileChanged(t *testing.T) {
	Convey("A changed file is reported once", t, func() {
		path := filepath.Join(t.TempDir(), "node.yaml")
		So(os.WriteFile(path, []byte(validFile), 0o600), ShouldBeNil)
		t.Setenv(PathEnvVar, path)
		_, err := Load()
		So(err, ShouldBeNil)
		So(FileChanged(), ShouldBeFalse)
		So(os.WriteFile(path, []byte(validFile+"\n"), 0o600), ShouldBeNil)
		So(FileChanged(), ShouldBeTrue)
		So(FileChanged(), ShouldBeFalse)
	})
}

func TestLoadWithoutPath(t *testing.T) {
	t.Setenv(PathEnvVar, "")
	if _, err := Load(); !errors.Is(err, ErrPathNotSet) {
		t.Errorf("got error %v, want ErrPathNotSet", err)
	}
}
