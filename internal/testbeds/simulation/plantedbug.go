package simulation

import (
	"slices"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/dataplane/router"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/messages"
)

// PlantedBug is a bug that a run contains on purpose, to verify that the invariants detect it. The values are stored in
// schedules (JSON key "Fault"), so they must not change.
type PlantedBug string

// Bugs that schedules without a Tolerance detect.
const (
	IgnoreViewNumber      PlantedBug = "a message along the chain is taken whatever view it is of"
	KeepVoteAfterWipe     PlantedBug = "a member that lost its disk keeps its vote"
	AcknowledgeBeforeSync PlantedBug = "a write is reported as done before the sync"
	SkipDirectorySync     PlantedBug = "a new file's folder is not synced"
	AcceptStaleState      PlantedBug = "a gateway takes an older register"
	DiscardReportedDrains PlantedBug = "what another member says of a drain is confirmed and not kept"
	UndividedWarmupQuota  PlantedBug = "each member deals out all that a warming replica bears"
)

// Bugs that only schedules with a Tolerance detect.
const (
	UnconfirmedFirstState   PlantedBug = "a gateway that connects is sent what is held, without asking the other members"
	ConfirmSupersededView   PlantedBug = "a view is confirmed by members that know of a later one"
	DropCommandID           PlantedBug = "a command that is entered again is a new one"
	AcceptDelayedCalls      PlantedBug = "what lay in the socket of a frozen member is taken for new"
	HideConflict            PlantedBug = "the head does not say that a number belongs to another command"
	DiscardClaimsOnRestart  PlantedBug = "numbers that were taken are forgotten at a restart"
	ShutDownWithoutHandover PlantedBug = "a member that leaves ends without waiting for the others"
	RemoveSilentVoters      PlantedBug = "silent voters are removed although the others tolerate too few losses of disks"
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
