package experiment

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"

	"github.com/google/renameio/v2"

	"zincloft.example/zincloft/internal/tools/emulate"
)

const (
	resultFolderMode = 0o755
	resultFileMode   = 0o644
	revisionLength   = 12 // characters of the revision that are kept
)

// errNoResult is returned for a record without a result.
var errNoResult = errors.New("result is missing")

// Record is the result of one run, with the parameters needed to reproduce it.
type Record struct {
	Experiment string
	Scenario   string
	Variant    string
	Seed       uint64
	Build      string // see BuildRevision
	Result     *emulate.Result
}

// name identifies a record within a plan and is the base of its file name.
func (r Record) name() string { return fmt.Sprintf("%s.%s.%d", r.Scenario, r.Variant, r.Seed) }

func (r Record) path(folder string) string { return filepath.Join(folder, r.name()+".json") }

// BuildRevision returns the VCS revision of the program, with "+" appended if the sources were modified, or "unknown".
func BuildRevision() string {
	revision := "unknown"
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return revision
	}
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			revision = setting.Value[:min(len(setting.Value), revisionLength)]
		case "vcs.modified":
			if setting.Value == "true" {
				revision += "+"
			}
		}
	}
	return revision
}

// load reads the result of an earlier run from a folder. It returns false if there is no result, or if the file is corrupt or
// comes from another build.
func (r *Record) load(folder string) (bool, error) {
	text, err := os.ReadFile(r.path(folder))
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("read result: %w", err)
	}
	var stored Record
	if json.Unmarshal(text, &stored) != nil || stored.Build != r.Build || stored.Result == nil {
		return false, nil
	}
	*r = stored
	return true, nil
}

// save writes a record to its file atomically.
func (r *Record) save(folder string) error {
	text, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode result %s: %w", r.name(), err)
	}
	if err := renameio.WriteFile(r.path(folder), append(text, '\n'), resultFileMode); err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	return nil
}

// LoadRecords reads all records of a folder, sorted by scenario, variant and seed. It returns an error if there are none or one is
// corrupt.
func LoadRecords(folder string) ([]Record, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil || len(paths) == 0 {
		return nil, fmt.Errorf("no results in %s: %w", folder, cmp.Or(err, fs.ErrNotExist))
	}
	var records []Record
	for _, path := range paths {
		record, err := loadRecord(path)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Scenario, b.Scenario), cmp.Compare(a.Variant, b.Variant), cmp.Compare(a.Seed, b.Seed))
	})
	return records, nil
}

func loadRecord(path string) (Record, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Record{}, fmt.Errorf("read result: %w", err)
	}
	var record Record
	if err := json.NewDecoder(bytes.NewReader(text)).Decode(&record); err != nil || record.Result == nil {
		return Record{}, fmt.Errorf("invalid result file %s: %w", path, cmp.Or(err, errNoResult))
	}
	return record, nil
}
