// Package simulation tests the gateway by deterministic simulation, after the example of FoundationDB and TigerBeetle.
//
// A run has control-plane members, which are the decisions of production (controlplane/controller) on the store of
// production (internal/daemons/statestore), and gateways (dataplane/router). Their links, disks, clocks, replicas and operators are
// simulated, in simulated time and on one goroutine. What happens is given by a Schedule: the faults and the actions, each
// with its time, and the seed of every other random choice (delays, losses, torn writes). The same schedule always leads
// to the same history.
//
// Schedules are generated from a seed (Generate, GenerateWindows, GenerateFamily), shrunk when they break something
// (Shrink), and kept as JSON under testdata. Invariants are checked after each step; each has a function of its own in the
// files named invariant_*.go. The calls of operators are also kept as a history, for a check of linearizability.
//
// Overflow between sites has a simulation of its own (RunOverflow), which shares nothing but the event queue.
package simulation
