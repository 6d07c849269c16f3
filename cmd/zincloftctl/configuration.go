package main

import (
	"fmt"
	"io"
	"os"

	"zincloft.example/zincloft/gatewayconfig"
)

// configurationCommands returns the commands check, put and show.
func configurationCommands() []*command {
	var file, addresses string
	fileArgument := argument{value: &file, name: "FILE", description: "configuration file in JSON"}
	return []*command{
		{
			name:        "check",
			description: "validate a configuration file and print a summary or the path of the invalid key",
			arguments:   []argument{fileArgument},
			run:         func(out io.Writer) error { return checkConfiguration(out, file) },
		},
		{
			name:        "put",
			description: "replace the configuration",
			arguments:   []argument{membersArgument(&addresses), fileArgument},
			run:         func(out io.Writer) error { return putConfiguration(out, addresses, file) },
		},
		{
			name:        "show",
			description: "print the current configuration",
			arguments:   []argument{membersArgument(&addresses)},
			run: func(out io.Writer) error {
				return printCall(out, addresses, "configuration.describe", "", nil)
			},
		},
	}
}

func checkConfiguration(out io.Writer, file string) error {
	config, err := readConfiguration(file)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "version %08x: %d routes, %d services\n", config.Version, config.RouteCount, len(config.Services))
	return err
}

func putConfiguration(out io.Writer, addresses, file string) error {
	config, err := readConfiguration(file)
	if err != nil {
		return err
	}
	return printCall(out, addresses, "configuration.replace", "", config.Raw)
}

func readConfiguration(file string) (*gatewayconfig.Config, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return gatewayconfig.Parse(raw)
}
