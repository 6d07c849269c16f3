// Package membership implements agreement on the members of the control plane and the order of its replication chain, and
// replaces failed members.
//
// A view consists of a number, the voters, the chain (an ordered subset of the members) and at most one learner, which is
// part of the chain but does not vote. View n+1 is decided by one instance of single-decree Paxos (Lamport, "Paxos Made
// Simple", 2001) among the voters of view n. Any two quorums of view n intersect, so at most one view n+1 is decided. A
// member is identified by its disk: a machine that lost its disk also lost its Paxos promises, so it returns under a new
// identity and does not vote until it has been synced as a learner and made a voter by a view. See
// docs/design/control-plane.md, rules 2, 3, 6 and 7.
//
// Other members are observed in two independent ways:
//
//   - Failure detection (failuredetector.go) depends on received messages: a member that exchanges heartbeats with the
//     others in both directions stays in the chain. A false suspicion causes an unnecessary view change but is otherwise
//     harmless.
//   - Contact (contact.go) depends on echoes: a node is in contact with a quorum only while a quorum of the voters has
//     echoed clock readings that the node sent within the last second. Messages that were delayed in a socket while the
//     machine was suspended do not count. See docs/design/control-plane.md, rule 8.
//
// The package performs no I/O. Node is a deterministic state machine: the caller supplies messages, the time and a source
// of random numbers, and performs the work described by the returned Ready.
package membership
