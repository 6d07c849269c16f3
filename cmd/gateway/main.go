// Command gateway is the data plane: it accepts client requests and forwards them to replicas.
package main

import (
	"zincloft.example/zincloft/internal/gateway"
	"zincloft.example/zincloft/internal/program"
)

func main() {
	program.Main("gateway", "accepts client requests and forwards them to replicas", gateway.New)
}
