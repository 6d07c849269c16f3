package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"zincloft.example/zincloft/internal/governor/config"
	"zincloft.example/zincloft/internal/governor/store"
	"zincloft.example/zincloft/recovery"
)

// stateNames are the names of the values of rules.State.
var stateNames = [...]string{"gone", "ready", "draining"}

// stateCommand returns the commands for a governor's persisted state. Only compact changes the file, and none works while a
// governor has it open.
func stateCommand(operator *string) *cobra.Command {
	var dir string
	root := &cobra.Command{Use: "state", Short: "Inspect the persisted state of a governor"}
	root.PersistentFlags().StringVar(&dir, "dir", "", "state directory (default: state.dir in the operator file)")
	for _, command := range []struct {
		use, short string
		run        func(out io.Writer, dir string) error
	}{
		{"show", "Print the state as text", showState},
		{"export", "Print the state as JSON", exportState},
		{"verify", "Check the file for damage", verifyState},
		{"compact", "Rewrite the file without free pages", compactState},
	} {
		root.AddCommand(&cobra.Command{
			Use:   command.use,
			Short: command.short,
			Args:  cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error {
				stateDir, err := stateDirectory(dir, *operator)
				if err != nil {
					return err
				}
				return command.run(c.OutOrStdout(), stateDir)
			},
		})
	}
	return root
}

// stateDirectory returns named or, if that is empty, the directory in the operator file.
func stateDirectory(named, operator string) (string, error) {
	if named != "" {
		return named, nil
	}
	options, err := config.ReadOperator(config.OperatorPath(os.Getenv, operator))
	if err != nil {
		return "", err
	}
	if options.State.Dir == "" {
		return "", errors.New("state.dir is not set; use --dir or an operator file")
	}
	return options.State.Dir, nil
}

func showState(out io.Writer, dir string) error {
	state, err := store.Read(dir)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(out, "governor %s, discovery %s, version %d, heard %s, written %s, %d replicas\n", state.Governor, state.Discovery,
		state.Version, formatTime(int64(state.ConfirmedAt)), formatTime(int64(state.WrittenAt)), len(state.Replicas)); err != nil {
		return err
	}
	for _, replica := range state.Replicas {
		if err := showReplica(out, replica); err != nil {
			return err
		}
	}
	return nil
}

func showReplica(out io.Writer, r recovery.Replica) error {
	heldOut := ""
	if r.Learned.Ejected {
		heldOut = "\theld out"
	}
	_, err := fmt.Fprintf(out, "%s\t%d\t%s\tweight %g\tspeed %.2f%s\n", r.Name, r.Entry.Replica, stateNames[r.Entry.State], r.Entry.Listed,
		r.Learned.Speed, heldOut)
	return err
}

func formatTime(unixNano int64) string { return time.Unix(0, unixNano).UTC().Format(time.RFC3339) }

func exportState(out io.Writer, dir string) error {
	state, err := store.Read(dir)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(struct {
		Schema int `json:"schema"`
		recovery.State
	}{store.SchemaVersion, state}); err != nil {
		return fmt.Errorf("writing: %w", err)
	}
	return nil
}

func verifyState(out io.Writer, dir string) error {
	replicas, err := store.Verify(dir)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "sound: %d replicas\n", replicas)
	return err
}

func compactState(out io.Writer, dir string) error {
	before, after, err := store.Compact(dir)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%d bytes, %d before\n", after, before)
	return err
}
