// Package membership agrees on which members form the control plane and on the order of its replication chain, and
// replaces members that have failed.
//
// A view is a number, the voters (the members whose votes count), the chain (an ordered subset of the members) and at
// most one learner, which is part of the chain but does not vote yet. View n+1 is decided by one run of single-decree
// Paxos (Lamport, "Paxos Made Simple", 2001) among the voters of view n. Any two decisions on view n+1 are taken by
// quorums of view n, which intersect, so they are the same decision. A member is identified by its disk: a machine that
// lost its disk lost its promises with it, returns under another identity, and counts in no quorum until it was synced
// as a learner and a view has made it a voter. See docs/design/control-plane.md, rules 2, 3, 6 and 7.
//
// Two judgements of other members are kept apart:
//
//   - Failure detection (failuredetector.go) rests on arrivals: a member that is heard and hears the others stays in the
//     chain. A wrong suspicion costs a view change and nothing else.
//   - Contact (contact.go) rests on echoes: a node considers itself in contact with a quorum only while a quorum of the
//     voters has echoed clock readings that the node sent within the last second. Messages that lay in a socket while the
//     machine was frozen prove nothing. See docs/design/control-plane.md, rule 8.
//
// The package is free of I/O. Node is a deterministic state machine: the caller passes in messages, the time and a
// source of random numbers, and carries out what the returned Ready asks for.
package membership
