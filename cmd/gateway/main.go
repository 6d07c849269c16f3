// Command gateway is the data plane: it accepts client requests and forwards them to replicas.
package main

import (
	"zincloft.example/zincloft/internal/gateway"
	"zincloft.example/zincloft/internal/nodesettings"
	"zincloft.example/zincloft/internal/program"

	"github.com/phuslu/log"
)

func main() {
	program.Main("gateway", "accepts client requests and forwards them to replicas",
		func(set *nodesettings.Settings, logger *log.Logger) (program.Runner, error) {
			return gateway.New(set, logger)
		})
}
