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

// Mutation is a change to the source that breaks one guarantee, used to verify that the checker detects it. It is compiled in with
// the go command's overlay, so that the source tree stays unchanged.
type Mutation struct {
	Name     string
	File     string // relative to the module root
	Old, New string // Old occurs exactly once in the file
	Schedule Schedule
	Rule     Rule // that must detect it from the record alone, without the daemons' own invariants
}

// ErrMutationNotApplied is returned when the text to replace does not occur exactly once in the file.
var ErrMutationNotApplied = merry.Sentinel("mutation: the text to replace does not occur exactly once in the file")

// Build builds the mutated daemons into binDir. root is the module's root directory.
func (m Mutation) Build(ctx context.Context, root, binDir string) error {
	path := filepath.Join(root, m.File)
	source, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if strings.Count(string(source), m.Old) != 1 {
		return merry.Prepend(ErrMutationNotApplied, m.Name)
	}
	changed := filepath.Join(binDir, "changed.go")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(source), m.Old, m.New, 1)), 0o600); err != nil {
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

// Build builds the unmodified daemons into binDir. root is the module's root directory.
func Build(ctx context.Context, root, binDir string) error { return build(ctx, root, binDir) }

func build(ctx context.Context, root, binDir string, flags ...string) error {
	arguments := append([]string{"build", "-o", binDir + string(filepath.Separator)}, flags...)
	command := exec.CommandContext(ctx, "go", append(arguments, "./cmd/controlplane", "./cmd/gateway")...)
	command.Dir = root
	if output, err := command.CombinedOutput(); err != nil {
		return merry.Prependf(err, "building the daemons: %s", output)
	}
	return nil
}
