// Command controlplane is a member of the control plane: instance registry, configuration and endpoint weights.
package main

import (
	"zincloft.example/zincloft/internal/daemons/controlserver"
	"zincloft.example/zincloft/internal/daemons/program"
)

func main() {
	program.Main("controlplane", "registers replicas, keeps the configuration and publishes endpoint weights to gateways", controlserver.New)
}
