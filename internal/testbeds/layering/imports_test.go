package layering

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const (
	moduleRoot = "../../.."
	modulePath = "zincloft.example/zincloft/"
)

// layers lists the directories of each layer, lowest layer first. A package must not import a package of a higher layer.
var layers = [][]string{
	{"invariant", "fleet", "capacity", "peersampling"},
	{"gatewayconfig", "messages"},
	{"controlplane", "dataplane"},
	{"internal/daemons"},
	{"internal/tools", "internal/testbeds"},
	{"cmd"},
}

// position returns the layer and the directory that a package belongs to. Packages outside layers, such as rules and intake, are not
// checked.
func position(path string) (layer int, dir string, ok bool) {
	for layer, dirs := range layers {
		for _, dir := range dirs {
			if path == dir || strings.HasPrefix(path, dir+"/") {
				return layer, dir, true
			}
		}
	}
	return 0, "", false
}

// planesLayer is the layer whose directories, controlplane and dataplane, must not import each other.
const planesLayer = 2

// TestImportsFollowLayers verifies that no package imports a higher layer, and that controlplane and dataplane stay independent.
func TestImportsFollowLayers(t *testing.T) {
	checked := 0
	err := filepath.WalkDir(moduleRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		importer, err := filepath.Rel(moduleRoot, filepath.Dir(path))
		if err != nil {
			return err
		}
		layer, dir, ok := position(filepath.ToSlash(importer))
		if !ok {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range file.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			target, inModule := strings.CutPrefix(imported, modulePath)
			targetLayer, targetDir, ok := position(target)
			if !inModule || !ok {
				continue
			}
			checked++
			if targetLayer > layer || layer == planesLayer && targetLayer == layer && targetDir != dir {
				t.Errorf("%s imports %s", importer, target)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if checked < 100 {
		t.Errorf("checked %d imports, want at least 100", checked)
	}
}

// TestStateMachinesDoNoIO verifies that packages of deterministic logic do not import packages for I/O.
func TestStateMachinesDoNoIO(t *testing.T) {
	for _, dir := range []string{"fleet", "capacity", "messages", "controlplane", "dataplane", "gatewayconfig", "peersampling"} {
		err := filepath.WalkDir(filepath.Join(moduleRoot, dir), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
			if err != nil {
				return err
			}
			for _, spec := range file.Imports {
				switch imported := strings.Trim(spec.Path.Value, `"`); imported {
				case "os", "net", "syscall", "io/fs", "os/exec":
					t.Errorf("%s imports %s", path, imported)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
