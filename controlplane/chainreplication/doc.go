// Package chainreplication replicates the control plane's durable state by chain replication (van Renesse and Schneider, "Chain
// Replication for Supporting High Throughput and Availability", 2004).
//
// The replicated state is a Register: the latest configuration, the evacuated zones and a set of small records. Commands
// are submitted to the head. Each member forwards the resulting register to its successor, and the tail announces the
// commit to all members. A member forwards a register only after writing it to stable storage, so a committed register is
// on stable storage at every member of the chain.
//
// Every message carries the number of its view (package membership) and is accepted only from the predecessor in that
// view, so a replaced or partitioned head cannot commit anything. When a view is installed, the head forwards its register
// again. Members keep their relative order across views, so the head's register is at least as recent as that of any
// other member; it overwrites whatever the others hold, including uncommitted commands accepted by an earlier head. See
// docs/design/control-plane.md, rules 1, 4, 5, 11 and 12.
//
// The package performs no I/O. Replica is a deterministic state machine: the caller supplies commands, messages and the
// time, and performs the work described by the returned Ready.
package chainreplication
