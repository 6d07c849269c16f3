// Package simulation tests the gateway and its control plane by deterministic simulation, in the manner of
// FoundationDB and TigerBeetle.
//
// A run has control-plane members, which combine the production controller (controlplane/controller) with the
// production state store (internal/daemons/statestore), and gateways (dataplane/router). Links, disks, clocks,
// replicas and operators are simulated, in simulated time and on a single goroutine. A Schedule defines the run:
// faults and actions with their times, and the seed of all other random choices (delays, losses, torn writes). The
// same schedule always yields the same history.
//
// Schedules are generated from a seed (Generate, GenerateWindows, GenerateFamily), shrunk when they violate an
// invariant (Shrink), and kept as JSON under testdata. Invariants are checked after each step, by one function each in
// the files named invariant_*.go. Operator calls are also recorded for a linearizability check.
//
// Overflow between sites has a separate simulation (RunOverflow) that shares only the event queue.
package simulation
