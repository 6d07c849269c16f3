package main

import "io"

// coreCommand prints a member's view of the control plane.
func coreCommand() *command {
	var address string
	return &command{
		name:        "core",
		description: "print the state of the control plane, as one member knows it: view, members, disks, lag",
		positionals: []positional{{value: &address, name: "ADDRESS", description: "control address of the member that is asked"}},
		run:         func(out io.Writer) error { return printCall(out, address, "core.describe", "", nil) },
	}
}

// evacuationCommands are evacuate and restore.
func evacuationCommands() []*command {
	var addresses, zone string
	arguments := []positional{membersArgument(&addresses), {value: &zone, name: "ZONE", description: "the zone"}}
	return []*command{
		{
			name:        "evacuate",
			description: "have nothing more sent to the replicas of a zone",
			positionals: arguments,
			run:         func(out io.Writer) error { return printCall(out, addresses, "evacuations.start", zone, nil) },
		},
		{
			name:        "restore",
			description: "take an evacuation back",
			positionals: arguments,
			run:         func(out io.Writer) error { return printCall(out, addresses, "evacuations.finish", zone, nil) },
		},
	}
}
