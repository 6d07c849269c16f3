package coordinator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/fleet"
)

// The values of Status.DiskHealth. The control API's page names them.
const (
	statusDiskHealthy   = "well"
	statusDiskUnhealthy = "sick"
)

// lagUnknown is MemberStatus.Lag of a member that has not reported what it has committed.
const lagUnknown = -1

// Status is what an operator sees of the control plane from one member. The control API returns it as JSON, under the names
// that its page gives.
type Status struct {
	Self              string         `json:"self"`
	HasQuorumContact  bool           `json:"in_touch"`
	View              uint64         `json:"view"`
	ConfigVersion     string         `json:"version"`   // of the committed configuration, in hexadecimal
	CommittedSequence uint64         `json:"committed"` // number of commands that are committed
	LatestSequence    uint64         `json:"held"`      // number of commands that this member holds
	EvacuatedZones    []string       `json:"evacuated"`
	DiskHealth        string         `json:"disk"`
	Members           []MemberStatus `json:"members"`
	UpToDateDisks     int            `json:"disks"`             // that hold what is committed, as far as this member knows
	FaultTolerant     bool           `json:"enough"`            // there are more of them than may be lost at once
	Shortfall         string         `json:"missing,omitempty"` // why not
}

// MemberStatus is what is known about one member.
type MemberStatus struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	Zone          string `json:"zone,omitempty"`
	APIAddress    string `json:"control,omitempty"`
	ChainPosition int    `json:"place"`  // from 0, the head; -1: not in the chain
	Unsynced      bool   `json:"fresh"`  // it may not hold yet what its predecessors hold
	Learner       bool   `json:"learns"` // it is being synced and does not vote yet
	Reachable     bool   `json:"heard"`
	Lag           int64  `json:"lag"` // commands behind what is committed here, as it last reported; -1: not reported
}

// Status describes the control plane as this member knows it.
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
	maxLosses := len(view.Voters) - view.Quorum()
	status.FaultTolerant = status.UpToDateDisks > maxLosses
	if !status.FaultTolerant {
		status.Shortfall = fmt.Sprintf("%d of %d disks are known to hold what is committed; %d may be lost at once",
			status.UpToDateDisks, len(view.Voters), maxLosses)
	}
	return status
}

func (c *Coordinator) memberStatus(now time.Duration, view membership.View, member fleet.Member) MemberStatus {
	if known, ok := c.membership.KnownMember(member.ID); ok {
		member = known // with its zone and API address, which an initial view does not name
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

// isUpToDate reports whether the member's disk is known to hold what is committed.
func (s MemberStatus) isUpToDate() bool {
	return s.ChainPosition >= 0 && s.Reachable && !s.Unsynced && !s.Learner && s.Lag == 0
}
