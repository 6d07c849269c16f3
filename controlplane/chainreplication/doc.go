// Package chainreplication keeps the control plane's durable state by chain replication (van Renesse and Schneider, "Chain
// Replication for Supporting High Throughput and Availability", 2004).
//
// The state is a Register that only grows: the newest configuration, the evacuations and some small records. A command
// enters at the head, each member forwards the register as it stands after the command, and the tail announces to all
// that it is committed. A member forwards only what is on its stable storage, so a committed register is on stable storage
// at each member of the chain.
//
// A message carries the number of the view (package membership) that it belongs to and is taken from the predecessor in
// that very view only, so a head that was replaced or cut off commits nothing. At a new view the head forwards its register
// once more. As members keep their order in the chain, the head's register is at least as new as any other's, so what it
// forwards replaces what a member held, including commands that an earlier head had taken and nobody had acknowledged. See
// docs/design/control-plane.md, rules 1, 4, 5, 11 and 12.
//
// The package is free of I/O. Replica is a deterministic state machine: the caller passes in commands, messages and the
// time, and carries out what the returned Ready asks for.
package chainreplication
