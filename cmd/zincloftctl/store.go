package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/ansel1/merry/v2"

	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/internal/daemons/statestore"
)

// stateKey is the key under which a member's store holds the coordinator's state.
const stateKey = "state"

// storeCommand reads a member's store on disk.
func storeCommand() *command {
	var folder string
	folderArgument := positional{value: &folder, name: "FOLDER", description: "data_directory of the member"}
	return &command{
		name:        "store",
		description: "read a member's folder on disk, changing nothing: verify, or export as JSON",
		subcommands: []*command{
			{
				name:        "verify",
				description: "check every copy; status 1 if none is intact",
				positionals: []positional{folderArgument},
				run:         func(out io.Writer) error { return verifyStore(out, folder) },
			},
			{
				name:        "export",
				description: "print the newest intact copy",
				positionals: []positional{folderArgument},
				run:         func(out io.Writer) error { return exportStore(out, folder) },
			},
		},
	}
}

// decodeCopy decodes the state of an intact copy.
func decodeCopy(fileCopy statestore.FileCopy) (coordinator.PersistentState, error) {
	state, err := coordinator.DecodePersistentState(fileCopy.Values[stateKey])
	if err != nil {
		return state, merry.Prepend(err, fileCopy.Name)
	}
	return state, nil
}

// verifyStore prints a line for each copy.
func verifyStore(out io.Writer, folder string) error {
	copies, err := statestore.Inspect(folder)
	if err != nil {
		return err
	}
	intact := 0
	for _, fileCopy := range copies {
		if fileCopy.Err != nil {
			if _, err := fmt.Fprintf(out, "%s: damaged: %v\n", fileCopy.Name, fileCopy.Err); err != nil {
				return err
			}
			continue
		}
		state, err := decodeCopy(fileCopy)
		if err != nil {
			return err
		}
		intact++
		if _, err := fmt.Fprintf(out, "%s: whole, write %d: disk %s, view %d, %d orders, version %08x, %d replicas\n", fileCopy.Name, fileCopy.Generation,
			state.DiskID, state.View.View.Number, state.Register.Sequence, state.Register.Version, len(state.Instances)); err != nil {
			return err
		}
	}
	if intact == 0 {
		return noIntactCopyError{folder}
	}
	return nil
}

// noIntactCopyError tells that a folder holds no copy that can be read.
type noIntactCopyError struct{ folder string }

func (e noIntactCopyError) Error() string { return e.folder + ": no intact copy" }

// export is the document that store export prints. Its keys are read by operators' scripts; docs/operate/core.md names them.
type export struct {
	Configuration json.RawMessage  `json:"configuration"`
	Disk          string           `json:"disk"`
	Evacuated     map[string]bool  `json:"evacuated"`
	Commands      uint64           `json:"orders"`
	Replicas      []fleet.Instance `json:"replicas"`
	View          membership.View  `json:"view"`
}

func exportStore(out io.Writer, folder string) error {
	newest, err := newestState(folder)
	if err != nil {
		return err
	}
	document := export{
		Configuration: newest.Register.Body,
		Disk:          newest.DiskID,
		Evacuated:     newest.Register.EvacuatedZones,
		Commands:      newest.Register.Sequence,
		Replicas:      newest.Instances,
		View:          newest.View.View,
	}
	if len(document.Configuration) == 0 {
		document.Configuration = json.RawMessage("null")
	}
	body, err := json.MarshalIndent(document, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s\n", body)
	return err
}

// newestState returns the state of the newest intact copy. An intact copy whose state can't be decoded is an error, also where it
// is not the newest.
func newestState(folder string) (newest coordinator.PersistentState, err error) {
	copies, err := statestore.Inspect(folder)
	if err != nil {
		return newest, err
	}
	found := false
	var generation uint64
	for _, fileCopy := range copies {
		if fileCopy.Err != nil {
			continue
		}
		state, err := decodeCopy(fileCopy)
		if err != nil {
			return newest, err
		}
		if !found || fileCopy.Generation > generation {
			found, generation, newest = true, fileCopy.Generation, state
		}
	}
	if !found {
		return newest, noIntactCopyError{folder}
	}
	return newest, nil
}
