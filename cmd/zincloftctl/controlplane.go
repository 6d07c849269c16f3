package main

import "io"

// coreCommand returns the command that prints the control plane's state as seen by one member.
func coreCommand() *command {
	var address string
	return &command{
		name:        "core",
		description: "print the state of the control plane as seen by one member: view, members, disks, replication lag",
		arguments:   []argument{{value: &address, name: "ADDRESS", description: "control address of the member to query"}},
		run:         func(out io.Writer) error { return printCall(out, address, "core.describe", "", nil) },
	}
}

// evacuationCommands returns the commands evacuate and restore.
func evacuationCommands() []*command {
	var addresses, zone string
	arguments := []argument{membersArgument(&addresses), {value: &zone, name: "ZONE", description: "name of the zone"}}
	return []*command{
		{
			name:        "evacuate",
			description: "stop sending requests to the replicas of a zone",
			arguments:   arguments,
			run:         func(out io.Writer) error { return printCall(out, addresses, "evacuations.start", zone, nil) },
		},
		{
			name:        "restore",
			description: "end the evacuation of a zone",
			arguments:   arguments,
			run:         func(out io.Writer) error { return printCall(out, addresses, "evacuations.finish", zone, nil) },
		},
	}
}
