package simulation

import (
	"slices"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/dataplane/router"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/messages"
)

// PlantedBug is a bug that a run contains on purpose, to verify that the invariants detect it.
type PlantedBug string

// Bugs that schedules without a Tolerance detect.
const (
	IgnoreViewNumber      PlantedBug = "chain messages are accepted regardless of their view number"
	KeepVoteAfterWipe     PlantedBug = "a member with a wiped disk keeps its vote"
	AcknowledgeBeforeSync PlantedBug = "a write is acknowledged before the sync"
	SkipDirectorySync     PlantedBug = "the directory of a new file is not synced"
	AcceptStaleState      PlantedBug = "a gateway accepts an older register"
	DiscardReportedDrains PlantedBug = "drains reported by other members are confirmed but not stored"
	UndividedWarmupQuota  PlantedBug = "each member grants the whole warm-up rate of a replica"
)

// Bugs that only schedules with a Tolerance detect.
const (
	UnconfirmedFirstState   PlantedBug = "a gateway that connects receives state that no quorum has confirmed"
	ConfirmSupersededView   PlantedBug = "a view is confirmed by members that know a newer one"
	DropCommandID           PlantedBug = "a resubmitted command is treated as a new one"
	AcceptDelayedCalls      PlantedBug = "calls delivered while a member was paused are handled as new"
	HideConflict            PlantedBug = "the head does not report version conflicts"
	DiscardClaimsOnRestart  PlantedBug = "claimed versions are discarded on restart"
	ShutDownWithoutHandover PlantedBug = "a member shuts down without a handover"
)

// hasBug reports whether the run contains a planted bug.
func (c *cluster) hasBug(bug PlantedBug) bool { return c.schedule.PlantedBug == bug }

// applyBugToMessage alters a message between members to what a member with the planted bug would send or accept.
func (c *cluster) applyBugToMessage(m *member, event controller.Event) controller.Event {
	if event.Message != nil && c.hasBug(DiscardReportedDrains) {
		message := *event.Message
		message.Instances = slices.DeleteFunc(slices.Clone(message.Instances), func(instance fleet.Instance) bool { return instance.Draining })
		event.Message = &message
		return event
	}
	if event.Message == nil || event.Message.Coordinator == nil {
		return event
	}
	message, inner := *event.Message, *event.Message.Coordinator
	switch {
	case c.hasBug(IgnoreViewNumber) && inner.Chain != nil:
		inner.Chain = withViewOf(m, *inner.Chain)
	case c.hasBug(ConfirmSupersededView) && inner.ConfirmViewResponse != nil:
		response := *inner.ConfirmViewResponse
		response.Confirmed, inner.ConfirmViewResponse = true, &response
	case c.hasBug(DropCommandID) && inner.ProposeRequest != nil:
		request := *inner.ProposeRequest
		request.Command.ID, inner.ProposeRequest = 0, &request
	case c.hasBug(HideConflict) && inner.ProposeResponse != nil:
		response := *inner.ProposeResponse
		response.Conflict, inner.ProposeResponse = false, &response
	default:
		return event
	}
	message.Coordinator, event.Message = &inner, &message
	return event
}

// withViewOf returns a chain message with the receiver's view number.
func withViewOf(m *member, message chainreplication.Message) *chainreplication.Message {
	view := m.controller.Coordinator().View()
	if i := view.Position(m.controller.Coordinator().Self().ID); message.Kind == chainreplication.Forward && i > 0 {
		message.ViewNumber, message.From = view.Number, view.Chain[i-1]
	} else if message.Kind == chainreplication.Commit {
		message.ViewNumber = view.Number
	}
	return &message
}

// withUndividedQuota returns an update whose warm-up rates are multiplied by the number of members.
func (c *cluster) withUndividedQuota(update *messages.StateUpdate) *messages.StateUpdate {
	altered := *update
	altered.WarmupRates = nil
	for _, rate := range update.WarmupRates {
		rate.WarmupRate *= float32(c.schedule.Members)
		altered.WarmupRates = append(altered.WarmupRates, rate)
	}
	return &altered
}

// resetRouter replaces a gateway's router by an empty one, which accepts any update.
func (c *cluster) resetRouter(g *gatewayNode) {
	g.router = router.New(router.Settings{Zone: c.zoneName(g.index), Zones: c.zoneCount(), Seed: 1})
}
