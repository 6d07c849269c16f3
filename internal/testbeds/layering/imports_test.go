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

// layers are the layers of the gateway and the control plane, the lowest first. A package imports none of a higher layer, and none of the other
// side: the folders of one layer are divided.
var layers = [][]string{
	{"invariant", "fleet", "capacity", "peersampling"},
	{"gatewayconfig", "messages"},
	{"controlplane", "dataplane"},
	{"internal/daemons"},
	{"internal/tools", "internal/testbeds"},
	{"cmd"},
}

// position is the layer and the folder within it that a package belongs to; not ok: it is held to nothing here, as rules and intake.
func position(path string) (layer int, folder string, ok bool) {
	for layer, folders := range layers {
		for _, folder := range folders {
			if path == folder || strings.HasPrefix(path, folder+"/") {
				return layer, folder, true
			}
		}
	}
	return 0, "", false
}

// sidesLayer is the layer whose folders are two sides that must not know each other.
const sidesLayer = 2

// TestImportsRunDownward guards the arrows between packages: from messages to controlplane and from dataplane to controlplane some ran up.
func TestImportsRunDownward(t *testing.T) {
	checked := 0
	err := filepath.WalkDir(moduleRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		importer, err := filepath.Rel(moduleRoot, filepath.Dir(path))
		if err != nil {
			return err
		}
		layer, folder, ok := position(filepath.ToSlash(importer))
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
			target, ofModule := strings.CutPrefix(imported, modulePath)
			targetLayer, targetFolder, ok := position(target)
			if !ofModule || !ok {
				continue
			}
			checked++
			if targetLayer > layer || layer == sidesLayer && targetLayer == layer && targetFolder != folder {
				t.Errorf("%s imports %s", importer, target)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if checked < 100 {
		t.Errorf("only %d imports were found", checked)
	}
}

// TestDecisionsDoNoIO guards the state machines: packages of decisions import no package of I/O.
func TestDecisionsDoNoIO(t *testing.T) {
	for _, folder := range []string{"fleet", "capacity", "messages", "controlplane", "dataplane", "gatewayconfig", "peersampling"} {
		err := filepath.WalkDir(filepath.Join(moduleRoot, folder), func(path string, entry fs.DirEntry, err error) error {
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
