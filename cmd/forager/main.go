// Command forager is a proxy governor of the gateway: it takes the requests of clients and sends them to replicas.
package main

import (
	"zincloft.example/zincloft/internal/forager"
	"zincloft.example/zincloft/internal/nodefile"
	"zincloft.example/zincloft/internal/program"

	"github.com/phuslu/log"
)

func main() {
	program.Main("forager", "takes the requests of clients and sends them to replicas",
		func(set *nodefile.Settings, logger *log.Logger) (program.Runner, error) {
			return forager.New(set, logger)
		})
}
