package membershipmodel

import (
	"fmt"
	"time"
)

// Scope limits what happens in a run of the reconfiguration model, around a control plane that tolerates the loss of less
// than half of its members.
type Scope struct {
	Members             int // At first, on seed addresses.
	NewMachines         int // Machines started at new addresses.
	Losses              int // Machines lost for good.
	DiskLosses          int // Disks lost; the machine returns under another identity.
	Kills               int // The disk is kept; the machine may be started again.
	Suspicions          int // Of machines that run.
	Leaves              int // Graceful shutdowns.
	Rejoins             int // Of machines that had left, with their disk.
	Commands            int // Different ones: the first two are for one configuration version, the third for none.
	Submissions         int // Commands that reach a head, repeated ones included.
	Reads               int
	Views               int       // Agreed on after the first.
	SupersededProposals int       // Values that a proposer may replace by another, for each view number.
	MaxStates           int       // Exploration ends after so many; 0: never.
	Deadline            time.Time // Exploration ends then; zero: never.

	// StartsUnsynced begins in a view whose members but the head are marked as unsynced; they have just been synced, and
	// have yet to hear of the commit.
	StartsUnsynced bool

	// SkipsLiveness does not check that the control plane comes to rest when left alone.
	SkipsLiveness bool

	// ExceedsTolerance allows for more suspicions and kills than are tolerated. Then only safety is promised, and that the
	// control plane comes to rest once all are back.
	ExceedsTolerance bool
}

// String says what may happen.
func (s Scope) String() string {
	text := fmt.Sprintf("%d members", s.Members)
	for _, limit := range []struct {
		count int
		name  string
	}{
		{s.NewMachines, "newcomers"},
		{s.Losses, "losses"},
		{s.DiskLosses, "wipes"},
		{s.Kills, "kills"},
		{s.Suspicions, "suspicions"},
		{s.Leaves, "leaves"},
		{s.Rejoins, "returns"},
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
		text += ", beyond what is tolerated"
	}
	if s.StartsUnsynced {
		text += ", all but the head marked as unsynced"
	}
	return text
}
