// Command comb is a control-plane governor of the gateway: the registry of replicas, the configuration, the tables.
package main

import (
	"zincloft.example/zincloft/internal/combd"
	"zincloft.example/zincloft/internal/nodefile"
	"zincloft.example/zincloft/internal/program"

	"github.com/phuslu/log"
)

func main() {
	program.Main("comb", "takes the beats of replicas and the orders of operators, and steers foragers",
		func(set *nodefile.Settings, logger *log.Logger) (program.Runner, error) {
			return combd.New(set, logger)
		})
}
