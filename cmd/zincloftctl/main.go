// Command zincloftctl is the gateway's command-line tool for operators.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"zincloft.example/zincloft/internal/daemons/program"
)

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "zincloftctl:", err)
		os.Exit(1)
	}
}

// run parses the arguments and executes the selected command.
func run(args []string, out io.Writer) error {
	root := &command{subcommands: allCommands()}
	parser := flaggy.NewParser("zincloftctl")
	parser.Description = "command-line tool for operating the gateway"
	parser.Version = program.Version
	root.attachSubcommands(&parser.Subcommand)
	if err := parser.ParseArgs(args); err != nil {
		return err
	}
	return root.execute(out)
}

// allCommands returns the commands in the order in which the help lists them.
func allCommands() []*command {
	var all []*command
	all = append(all, configurationCommands()...)
	all = append(all, coreCommand(), ownersCommand(), storeCommand())
	all = append(all, evacuationCommands()...)
	return append(all, windowsCommand(), demoCommand())
}
