package granter

import "zincloft.example/zincloft/controlplane/ownership"

// changes collects the changes of a table that one step proposes together.
type changes struct {
	table  ownership.Table
	reason string // why the first change was made, as logged with the proposal; empty if there is none
}

func newChanges(table ownership.Table) *changes { return &changes{table: table} }

// proposal returns the changed table and the reason of the first change, or nil if nothing has changed.
func (c *changes) proposal() (*ownership.Table, string) {
	if c.reason == "" {
		return nil, ""
	}
	return &c.table, c.reason
}

func (c *changes) record(reason string) {
	if c.reason == "" {
		c.reason = reason
	}
}

func (c *changes) remove(service string) {
	c.table = ownership.RemoveServices(c.table, func(name string) bool { return name != service })
	c.record("service_removed")
}

func (c *changes) divide(service string, replicas []ownership.Replica) {
	c.table = ownership.Divide(c.table, service, replicas, rangesPerReplica)
	c.record("divided")
}

func (c *changes) grant(service string, from, to uint16, owner, handover string) {
	c.table = ownership.Grant(c.table, service, from, to, owner, handover)
	c.record("granted")
}

func (c *changes) retoken(service string, from, to uint16) {
	c.table = ownership.Retoken(c.table, service, from, to)
	c.record("token_refused")
}

// join joins adjacent ranges of the same owner if there are more than limit, where accepted reports that the owner holds the range.
func (c *changes) join(service string, limit int, accepted func(ownership.Range) bool) {
	before := len(c.table.Services[service])
	c.table = ownership.Join(c.table, service, limit, accepted)
	if len(c.table.Services[service]) < before {
		c.record("joined")
	}
}

func (c *changes) release(service string, moves []ownership.Move) {
	c.table = ownership.Release(c.table, service, moves)
	c.record("released")
}
