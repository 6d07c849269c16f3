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

var update = flag.Bool("update", false, "rewrite the golden traces")

// CompareTrace compares a trace with the golden file in testdata that has the lowercase name of the test. With the flag -update it
// rewrites the golden file first.
func CompareTrace(t *testing.T, got string) {
	t.Helper()
	file := filepath.Join("testdata", strings.ToLower(strings.TrimPrefix(t.Name(), "Test"))+".trace")
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(strings.Split(string(golden), "\n"), strings.Split(got, "\n")); d != "" {
		t.Errorf("trace differs from %s (-golden +got):\n%s", file, d)
	}
}

// Logger returns a logger that writes to w without timestamps, so that its output can be compared.
func Logger(w io.Writer) zerolog.Logger { return zerolog.New(zerolog.SyncWriter(w)) }
