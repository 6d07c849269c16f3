package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"

	"zincloft.example/zincloft/controlplane/ownership"
)

// ownersCommand returns the command that prints which replicas own the shard keys.
func ownersCommand() *command {
	var address string
	return &command{
		name:        "owners",
		description: "print the owners of shard keys as seen by one member: service, range, owner, phase, fencing token",
		arguments:   []argument{{value: &address, name: "ADDRESS", description: "control address of the member to query"}},
		run: func(out io.Writer) error {
			response, err := callMembers(context.Background(), address, "owners.describe", "", nil)
			if err != nil {
				return err
			}
			return printOwners(out, response)
		},
	}
}

// printOwners prints the response of owners.describe as a table.
func printOwners(out io.Writer, response []byte) error {
	var ranges []ownership.RangeStatus
	if err := json.Unmarshal(response, &ranges); err != nil {
		return fmt.Errorf("decoding the owners: %w", err)
	}
	writer := table.NewWriter()
	writer.AppendHeader(table.Row{"service", "from", "to", "owner", "phase", "token", "target"})
	for _, r := range ranges {
		writer.AppendRow(table.Row{r.Service, r.From, r.To, r.Owner, r.Phase, r.Token, r.Target})
	}
	_, err := fmt.Fprintln(out, writer.Render())
	return err
}
