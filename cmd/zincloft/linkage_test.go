package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"slices"
	"testing"

	"zincloft.example/zincloft/internal/testbeds/testkit"
)

// TestLinkage builds the governor with the flags in the deploy file and checks that it is linked dynamically with the C
// library: the platform preloads a library, which has no effect on static binaries.
func TestLinkage(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("the platform is Linux")
	}
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	flags := regexp.MustCompile(`(?m)^build = ".*go build (-ldflags=\S+) -o bin/`).FindSubmatch(deploy)
	if flags == nil {
		t.Fatal("deploy/balancer.toml: build has no -ldflags")
	}
	bin := filepath.Join(t.TempDir(), "zincloft")
	if out, err := exec.CommandContext(t.Context(), "go", "build", string(flags[1]), "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	f, err := elf.Open(bin)
	if err != nil {
		t.Fatal(err)
	}
	defer testkit.Close(t, f)
	libraries, err := f.ImportedLibraries()
	if err != nil || !slices.Contains(libraries, "libc.so.6") {
		t.Errorf("libraries %v (%v), want libc.so.6 among them", libraries, err)
	}
	if f.Section(".interp") == nil {
		t.Error("no interpreter: linked statically")
	}
}
