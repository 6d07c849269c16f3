package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"zincloft.example/zincloft/internal/config"
	"zincloft.example/zincloft/internal/store"
	"zincloft.example/zincloft/recovery"
)

var stateNames = [...]string{"gone", "ready", "draining"}

// stateCommand are the commands on what a governor keeps on disk. None of them changes the file but compact, and none works on
// one that a governor has open.
func stateCommand(operator *string) *cobra.Command {
	var dir string
	at := func(run func(*cobra.Command, string) error) func(*cobra.Command, []string) error {
		return func(c *cobra.Command, _ []string) error {
			if dir == "" {
				o, err := config.ReadOperator(config.OperatorPath(getenv, *operator))
				if err != nil {
					return err
				}
				if dir = o.State.Dir; dir == "" {
					return errors.New("state.dir is not set: name a folder by --dir, or an operator file")
				}
			}
			return run(c, dir)
		}
	}
	root := &cobra.Command{Use: "state", Short: "Look at what a governor keeps on disk"}
	root.PersistentFlags().StringVar(&dir, "dir", "", "the folder; else state.dir of the operator file")
	root.AddCommand(
		&cobra.Command{Use: "show", Short: "Print what is kept, for people", Args: cobra.NoArgs, RunE: at(showState)},
		&cobra.Command{Use: "export", Short: "Print what is kept, as JSON", Args: cobra.NoArgs, RunE: at(exportState)},
		&cobra.Command{Use: "verify", Short: "Read the file whole and say whether it is sound", Args: cobra.NoArgs, RunE: at(func(c *cobra.Command, dir string) error {
			n, err := store.Verify(dir)
			if err == nil {
				fmt.Fprintf(c.OutOrStdout(), "sound: %d replicas\n", n)
			}
			return err
		})},
		&cobra.Command{Use: "compact", Short: "Write the file anew without its free pages", Args: cobra.NoArgs, RunE: at(func(c *cobra.Command, dir string) error {
			before, after, err := store.Compact(dir)
			if err == nil {
				fmt.Fprintf(c.OutOrStdout(), "%d bytes, %d before\n", after, before)
			}
			return err
		})},
	)
	return root
}

func showState(c *cobra.Command, dir string) error {
	k, err := store.Read(dir)
	if err != nil {
		return err
	}
	when := func(ns int64) string { return time.Unix(0, ns).UTC().Format(time.RFC3339) }
	out := c.OutOrStdout()
	fmt.Fprintf(out, "governor %s, discovery %s, version %d, heard %s, written %s, %d replicas\n", k.Governor, k.Discovery, k.Version,
		when(int64(k.ConfirmedAt)), when(int64(k.WrittenAt)), len(k.Replicas))
	for _, r := range k.Replicas {
		fmt.Fprintf(out, "%s\t%d\t%s\tweight %g\tspeed %.2f%s\n", r.Name, r.Entry.Replica, stateNames[r.Entry.State], r.Entry.Listed, r.Learned.Speed,
			map[bool]string{true: "\theld out"}[r.Learned.Out])
	}
	return nil
}

func exportState(c *cobra.Command, dir string) error {
	k, err := store.Read(dir)
	if err != nil {
		return err
	}
	e := json.NewEncoder(c.OutOrStdout())
	e.SetIndent("", "  ")
	if err := e.Encode(struct {
		Schema int `json:"schema"`
		recovery.State
	}{store.SchemaVersion, k}); err != nil {
		return fmt.Errorf("writing: %w", err)
	}
	return nil
}
