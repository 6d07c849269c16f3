package membershipmodel

import (
	"fmt"
	"time"
)

// Scope limits a run of the reconfiguration model. The control plane tolerates the loss of less than half of its members.
type Scope struct {
	Members             int // Initial members, at seed addresses.
	NewMachines         int // Machines started at new addresses.
	Losses              int // Machines lost permanently.
	DiskLosses          int // The machine restarts with another identity.
	Kills               int // The disk is kept and the machine may restart.
	Suspicions          int // Of running machines.
	Leaves              int // Graceful shutdowns.
	Rejoins             int // Restarts of machines that had left, with their disks.
	Commands            int // Distinct commands. The first two are for the same configuration version, the third is for none.
	Submissions         int // Arrivals of commands at a head, including retries.
	Reads               int
	Views               int       // Views decided after the first.
	SupersededProposals int       // Proposals that may be replaced by another, for each view number.
	MaxStates           int       // Exploration ends at this number; 0 means no limit.
	Deadline            time.Time // Exploration ends at this time; zero means no limit.

	// StartsUnsynced starts in a view in which all members but the head are marked as unsynced. They are synced but have not
	// learned of the commit.
	StartsUnsynced bool

	// SkipsLiveness disables the check that the control plane converges without further faults.
	SkipsLiveness bool

	// ExceedsTolerance allows more suspicions and kills than are tolerated. Then only safety is checked, and that the control
	// plane converges once all machines have restarted.
	ExceedsTolerance bool
}

// String lists the limits.
func (s Scope) String() string {
	text := fmt.Sprintf("%d members", s.Members)
	for _, limit := range []struct {
		count int
		name  string
	}{
		{s.NewMachines, "new machines"},
		{s.Losses, "losses"},
		{s.DiskLosses, "disk losses"},
		{s.Kills, "kills"},
		{s.Suspicions, "suspicions"},
		{s.Leaves, "leaves"},
		{s.Rejoins, "rejoins"},
		{s.Submissions, "submissions"},
		{s.Reads, "reads"},
		{s.Views, "views"},
		{s.SupersededProposals, "superseded proposals"},
	} {
		if limit.count > 0 {
			text += fmt.Sprintf(", %d %s", limit.count, limit.name)
		}
	}
	if s.ExceedsTolerance {
		text += ", tolerance exceeded"
	}
	if s.StartsUnsynced {
		text += ", all members but the head unsynced"
	}
	return text
}
