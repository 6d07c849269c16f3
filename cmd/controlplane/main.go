// Command controlplane runs a member of the control plane, which keeps the registry of replicas and the configuration and publishes
// endpoint weights to gateways.
package main

import (
	"zincloft.example/zincloft/internal/daemons/controlserver"
	"zincloft.example/zincloft/internal/daemons/program"
)

func main() {
	program.Main("controlplane", "registers replicas, keeps the configuration and publishes endpoint weights to gateways", controlserver.New)
}
