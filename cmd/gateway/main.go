// Command gateway runs the data plane, which accepts client requests and forwards them to replicas.
package main

import (
	"zincloft.example/zincloft/internal/daemons/gateway"
	"zincloft.example/zincloft/internal/daemons/program"
)

func main() {
	program.Main("gateway", "accepts client requests and forwards them to replicas", gateway.New)
}
