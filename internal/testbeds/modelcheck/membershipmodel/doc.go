// Package membershipmodel checks the rules of packages membership and chainreplication by exhaustive exploration of two
// models (docs/design/control-plane.md):
//
//   - The message model (messages_*.go) covers one or two agreements and the chain with every order of messages, which may be
//     delayed, lost or duplicated, of disk writes, kills and disk losses.
//   - The reconfiguration model (reconfiguration_*.go) covers many views: replacements, removals, kills, disk losses and
//     graceful shutdowns in any order, with retried commands and linearizable reads. It abstracts the agreement on a view to
//     the properties that the message model verifies.
//
// Both are explored breadth first within bounds, so that the trace of a violation is as short as possible. A Fault can be
// injected into each model to verify that the exploration detects it.
//
// The models specify the rules independently of the implementation and are less restrictive: a member may propose any view
// that the rules allow, at any time. Only the quorum size is taken from package membership.
package membershipmodel
