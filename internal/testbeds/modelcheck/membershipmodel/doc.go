// Package membershipmodel checks the rules of packages membership and chainreplication by exhaustive exploration of two
// models (docs/design/control-plane.md):
//
//   - The message model (messages_*.go) covers one or two agreements and the chain in every order of messages, which may be
//     late, lost or repeated, of writes that reach the disk, of kills and of lost disks.
//   - The reconfiguration model (reconfiguration_*.go) covers many views: replacements, removals, kills, lost disks and
//     graceful shutdowns in any order, with commands that are proposed again and linearizable reads. The agreement on a
//     view is reduced in it to what the message model shows.
//
// Both are explored breadth first within bounds, so that the trace of a violation is a shortest one. Each model can be given
// a Fault; that the exploration finds every fault shows that it would find such a mistake in the rules.
//
// The models state the rules independently of the implementation and on purpose more freely: a member may propose any view
// that the rules allow, at any time. Only the size of a quorum is taken from package membership.
package membershipmodel
