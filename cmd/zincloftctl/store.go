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

// stateKey is the key of the coordinator's state in a member's store.
const stateKey = "state"

// storeCommand returns the commands that read a member's store on disk.
func storeCommand() *command {
	var directory string
	directoryArgument := argument{value: &directory, name: "FOLDER", description: "the member's data_directory"}
	return &command{
		name:        "store",
		description: "verify a member's data directory or export it as JSON, without modifying it",
		subcommands: []*command{
			{
				name:        "verify",
				description: "check every copy; exits with status 1 if none is intact",
				arguments:   []argument{directoryArgument},
				run:         func(out io.Writer) error { return verifyStore(out, directory) },
			},
			{
				name:        "export",
				description: "print the newest intact copy",
				arguments:   []argument{directoryArgument},
				run:         func(out io.Writer) error { return exportStore(out, directory) },
			},
		},
	}
}

func decodeState(fileCopy statestore.FileCopy) (coordinator.PersistentState, error) {
	state, err := coordinator.DecodePersistentState(fileCopy.Values[stateKey])
	if err != nil {
		return state, merry.Prepend(err, fileCopy.Name)
	}
	return state, nil
}

// verifyStore prints one line per copy and fails if no copy is intact.
func verifyStore(out io.Writer, directory string) error {
	copies, err := statestore.Inspect(directory)
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
		state, err := decodeState(fileCopy)
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
		return noIntactCopyError{directory}
	}
	return nil
}

// noIntactCopyError is returned for a directory without a readable copy of the store.
type noIntactCopyError struct{ directory string }

func (e noIntactCopyError) Error() string { return e.directory + ": no intact copy" }

// export is the output of store export. Its keys are a documented interface, see docs/operate/core.md.
type export struct {
	Configuration json.RawMessage  `json:"configuration"`
	Disk          string           `json:"disk"`
	Evacuated     map[string]bool  `json:"evacuated"`
	Commands      uint64           `json:"orders"`
	Replicas      []fleet.Instance `json:"replicas"`
	View          membership.View  `json:"view"`
}

func exportStore(out io.Writer, directory string) error {
	newest, err := newestState(directory)
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

// newestState returns the state of the newest intact copy. It fails if the state of any intact copy can't be decoded, even if a
// newer copy can be.
func newestState(directory string) (newest coordinator.PersistentState, err error) {
	copies, err := statestore.Inspect(directory)
	if err != nil {
		return newest, err
	}
	found := false
	var generation uint64
	for _, fileCopy := range copies {
		if fileCopy.Err != nil {
			continue
		}
		state, err := decodeState(fileCopy)
		if err != nil {
			return newest, err
		}
		if !found || fileCopy.Generation > generation {
			found, generation, newest = true, fileCopy.Generation, state
		}
	}
	if !found {
		return newest, noIntactCopyError{directory}
	}
	return newest, nil
}
