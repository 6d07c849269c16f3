package testkit

import (
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
)

var update = flag.Bool("update", false, "rewrite the kept traces")

// CompareTrace compares a trace with the one that testdata keeps under the test's name in lower case. With the flag
// -update it writes the kept one first.
func CompareTrace(t *testing.T, got string) {
	t.Helper()
	file := filepath.Join("testdata", strings.ToLower(strings.TrimPrefix(t.Name(), "Test"))+".trace")
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	kept, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(strings.Split(string(kept), "\n"), strings.Split(got, "\n")); d != "" {
		t.Errorf("differs from %s (-kept +now):\n%s", file, d)
	}
}

// Logger returns a logger that writes to w without timestamps, so that its lines can be compared.
func Logger(w io.Writer) zerolog.Logger { return zerolog.New(zerolog.SyncWriter(w)) }
