package controller

import (
	"zincloft.example/zincloft/controlplane/ownership"
	"zincloft.example/zincloft/messages"
)

// addOwnership adds the ranges of sharded services that changed since the last update on the stream, or all ranges.
func (c *Controller) addOwnership(update *messages.StateUpdate, round publicationRound, stream *gatewayStream) bool {
	table, revision := c.ownershipTable()
	if revision == 0 || revision <= stream.ownersRevision && !update.Full {
		return false
	}
	changes, known := round.ownership[stream.ownersRevision]
	if !known {
		changes = ownershipChanges(table, stream.owners)
		round.ownership[stream.ownersRevision] = changes
	}
	update.Ownership = changes
	stream.owners = table
	stream.ownersRevision = revision
	return len(update.Ownership) > 0
}

// ownershipChanges describes the ranges of all services that differ from those published before.
func ownershipChanges(table, published ownership.Table) []messages.ServiceOwnership {
	var changes []messages.ServiceOwnership
	for _, service := range sortedKeys(table.Services) {
		change := serviceOwnership(service, table, published.Services[service])
		if len(change.Ranges) > 0 {
			changes = append(changes, change)
		}
	}
	return changes
}

// serviceOwnership describes the ranges of a service that differ from those published before, or all ranges if there were none.
func serviceOwnership(service string, table ownership.Table, published []ownership.Range) messages.ServiceOwnership {
	change := messages.ServiceOwnership{Service: service, LastToken: table.LastToken, Complete: len(published) == 0}
	known := map[ownership.Range]bool{}
	for _, r := range published {
		known[publishedPart(r)] = true
	}
	ownerIndex := map[string]uint32{}
	for _, r := range table.Services[service] {
		if known[publishedPart(r)] {
			continue
		}
		index, listed := ownerIndex[r.Owner]
		if !listed {
			index = uint32(len(change.Owners))
			ownerIndex[r.Owner] = index
			change.Owners = append(change.Owners, r.Owner)
		}
		moving := r.Phase == ownership.PhaseReleasing
		change.Ranges = append(change.Ranges, messages.OwnedRange{From: r.From, To: r.To, Owner: index, Token: r.Token, Moving: moving})
	}
	return change
}

// publishedPart returns the range without the fields that are not published.
func publishedPart(r ownership.Range) ownership.Range {
	r.Target = ""
	r.Handover = ""
	return r
}
