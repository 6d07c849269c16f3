package soak

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Mutation is a change of the source under which a promise is broken, to see that the checker finds it. It is built in with the
// go command's overlay, so that the source itself holds nothing of it.
type Mutation struct {
	Name     string
	File     string // from the module's root
	Old, New string // Old stands in the file exactly once
	Schedule Schedule
	Rule     Rule // that finds it in the record, whatever invariants in the daemons say
}

// ErrMutationNotApplied says that the text which a planted fault replaces is not, or not once, in its file.
var ErrMutationNotApplied = merry.Sentinel("planted fault: the text to replace does not stand in the file exactly once")

// Build builds the daemons with the fault into a folder. root is the module's folder.
func (p Mutation) Build(ctx context.Context, root, binDir string) error {
	path := filepath.Join(root, p.File)
	source, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if strings.Count(string(source), p.Old) != 1 {
		return merry.Prepend(ErrMutationNotApplied, p.Name)
	}
	changed := filepath.Join(binDir, "changed.go")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(source), p.Old, p.New, 1)), 0o600); err != nil {
		return err
	}
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {path: changed}})
	if err != nil {
		return err
	}
	overlayPath := filepath.Join(binDir, "overlay.json")
	if err := os.WriteFile(overlayPath, overlay, 0o600); err != nil {
		return err
	}
	return build(ctx, root, binDir, "-overlay", overlayPath)
}

// Build builds the daemons as they are into a folder. root is the module's folder.
func Build(ctx context.Context, root, binDir string) error { return build(ctx, root, binDir) }

func build(ctx context.Context, root, binDir string, flags ...string) error {
	arguments := append([]string{"build", "-o", binDir + string(filepath.Separator)}, flags...)
	command := exec.CommandContext(ctx, "go", append(arguments, "./cmd/controlplane", "./cmd/gateway")...)
	command.Dir = root
	if output, err := command.CombinedOutput(); err != nil {
		return merry.Prependf(err, "building: %s", output)
	}
	return nil
}
