package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/integrii/flaggy"
)

// errMissingSubcommand is returned if the arguments name a group of commands without one of its subcommands.
var errMissingSubcommand = errors.New("missing subcommand; see --help")

// command is either a command that runs or a group of subcommands.
type command struct {
	name, description string
	arguments         []argument
	flags             func(*flaggy.Subcommand) // adds flags; may be nil
	run               func(out io.Writer) error
	subcommands       []*command

	parsed *flaggy.Subcommand
}

// argument is a required positional argument.
type argument struct {
	value             *string
	name, description string
}

func (c *command) attachSubcommands(parent *flaggy.Subcommand) {
	for _, sub := range c.subcommands {
		sub.parsed = flaggy.NewSubcommand(sub.name)
		sub.parsed.Description = sub.description
		for i, arg := range sub.arguments {
			sub.parsed.AddPositionalValue(arg.value, arg.name, i+1, true, arg.description)
		}
		if sub.flags != nil {
			sub.flags(sub.parsed)
		}
		sub.attachSubcommands(sub.parsed)
		parent.AttachSubcommand(sub.parsed, 1)
	}
}

// execute runs the command or the subcommand selected by the arguments.
func (c *command) execute(out io.Writer) error {
	if c.run != nil {
		return c.run(out)
	}
	for _, sub := range c.subcommands {
		if sub.parsed.Used {
			return sub.execute(out)
		}
	}
	if c.name == "" {
		return errMissingSubcommand
	}
	return fmt.Errorf("%s: %w", c.name, errMissingSubcommand)
}

// membersArgument returns the positional argument for the control addresses of members.
func membersArgument(addresses *string) argument {
	return argument{value: addresses, name: "ADDRESS",
		description: "comma-separated control addresses of control-plane members; members that do not respond are skipped"}
}
