package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/integrii/flaggy"
)

// errNoVerb is returned where the arguments name a group of commands and none of them.
var errNoVerb = errors.New("no verb; see --help")

// command is an entry of the table of commands: one that runs, or a group of others.
type command struct {
	name, description string
	positionals       []positional
	flags             func(*flaggy.Subcommand) // adds flags; nil: none
	run               func(out io.Writer) error
	subcommands       []*command

	parsed *flaggy.Subcommand
}

// positional is a required argument.
type positional struct {
	value             *string
	name, description string
}

func (c *command) attachSubcommands(parent *flaggy.Subcommand) {
	for _, sub := range c.subcommands {
		sub.parsed = flaggy.NewSubcommand(sub.name)
		sub.parsed.Description = sub.description
		for i, argument := range sub.positionals {
			sub.parsed.AddPositionalValue(argument.value, argument.name, i+1, true, argument.description)
		}
		if sub.flags != nil {
			sub.flags(sub.parsed)
		}
		sub.attachSubcommands(sub.parsed)
		parent.AttachSubcommand(sub.parsed, 1)
	}
}

// execute runs the command that was parsed.
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
		return errNoVerb
	}
	return fmt.Errorf("%s: %w", c.name, errNoVerb)
}

// membersArgument is the positional argument for the control addresses of members.
func membersArgument(addresses *string) positional {
	return positional{value: addresses, name: "ADDRESS",
		description: "control addresses of control-plane members, separated by commas; one that does not answer is skipped"}
}
