package coordinator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/fleet"
)

// Values of Status.DiskHealth, as documented in the control API.
const (
	statusDiskHealthy   = "well"
	statusDiskUnhealthy = "sick"
)

// lagUnknown is the MemberStatus.Lag of a member that has not reported its commit status.
const lagUnknown = -1

// Status describes the control plane as seen by one member. The control API returns it as JSON.
type Status struct {
	Self              string         `json:"self"`
	HasQuorumContact  bool           `json:"in_touch"`
	View              uint64         `json:"view"`
	ConfigVersion     string         `json:"version"`   // of the committed configuration, in hexadecimal
	CommittedSequence uint64         `json:"committed"` // number of committed commands
	LatestSequence    uint64         `json:"held"`      // number of commands in this member's latest register
	EvacuatedZones    []string       `json:"evacuated"`
	DiskHealth        string         `json:"disk"`
	Members           []MemberStatus `json:"members"`
	UpToDateDisks     int            `json:"disks"`             // number of members known to have persisted what is committed
	FaultTolerant     bool           `json:"enough"`            // whether UpToDateDisks exceeds the tolerated number of losses
	Shortfall         string         `json:"missing,omitempty"` // explanation if FaultTolerant is false
}

// MemberStatus describes one member as seen by another.
type MemberStatus struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	Zone          string `json:"zone,omitempty"`
	APIAddress    string `json:"control,omitempty"`
	ChainPosition int    `json:"place"`  // 0 for the head, -1 outside the chain
	Unsynced      bool   `json:"fresh"`  // whether the member may lack commands that its predecessors have
	Learner       bool   `json:"learns"` // whether the member is a learner, which does not vote
	Reachable     bool   `json:"heard"`
	Lag           int64  `json:"lag"` // number of commands behind this member's committed register; -1 if not reported
}

// Status returns the status of the control plane as seen by this member.
func (c *Coordinator) Status(now time.Duration) Status {
	view := c.membership.View()
	committed, _ := c.chain.Committed()
	status := Status{
		Self:              c.membership.Self().ID,
		HasQuorumContact:  c.membership.HasQuorumContact(now),
		View:              view.Number,
		ConfigVersion:     fmt.Sprintf("%08x", committed.Version),
		CommittedSequence: committed.Sequence,
		LatestSequence:    c.chain.Latest().Sequence,
		EvacuatedZones:    slices.Sorted(maps.Keys(committed.EvacuatedZones)),
		DiskHealth:        statusDiskHealthy,
	}
	if c.persistence.diskUnhealthy {
		status.DiskHealth = statusDiskUnhealthy
	}
	for _, member := range view.Members() {
		memberStatus := c.memberStatus(now, view, member)
		if memberStatus.isUpToDate() {
			status.UpToDateDisks++
		}
		status.Members = append(status.Members, memberStatus)
	}
	maxLosses := max(len(view.Voters)-view.Quorum(), c.membership.FaultTolerance().Machines)
	status.FaultTolerant = status.UpToDateDisks > maxLosses
	if !status.FaultTolerant {
		status.Shortfall = fmt.Sprintf("%d of %d disks are known to hold what is committed; %d may be lost at once",
			status.UpToDateDisks, len(view.Voters), maxLosses)
	}
	return status
}

func (c *Coordinator) memberStatus(now time.Duration, view membership.View, member fleet.Member) MemberStatus {
	if known, ok := c.membership.KnownMember(member.ID); ok {
		member = known // includes the zone and API address, which are missing from an initial view
	}
	status := MemberStatus{
		ID:            member.ID,
		Address:       member.Addr,
		Zone:          member.Zone,
		APIAddress:    member.APIAddr,
		ChainPosition: view.Position(member.ID),
		Unsynced:      slices.Contains(view.Unsynced, member.ID) && c.chain.CommittedView() != view.Number,
		Learner:       view.HasLearner(member.ID),
		Reachable:     c.membership.IsReachable(now, member.ID),
		Lag:           lagUnknown,
	}
	if self := c.membership.Self(); member.ID == self.ID {
		status.Zone, status.APIAddress, status.Reachable, status.Lag = self.Zone, self.APIAddr, true, 0
	} else if sequence, ok := c.peerCommitted[member.ID]; ok {
		committed, _ := c.chain.Committed()
		status.Lag = max(int64(committed.Sequence)-int64(sequence), 0)
	}
	return status
}

// isUpToDate reports whether the member is known to have persisted what is committed.
func (s MemberStatus) isUpToDate() bool {
	return s.ChainPosition >= 0 && s.Reachable && !s.Unsynced && !s.Learner && s.Lag == 0
}
