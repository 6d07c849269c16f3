package membershipmodel

import "fmt"

// expandReads emits the start of a read at a machine, a confirmation, or its answer. A read is answered with the committed
// commands once a quorum has confirmed, after the read started, that it knows of no later view.
func (model *reconfigurationModel) expandReads(cs *clusterState, i int) {
	m := &cs.machines[i]
	if m.view == 0 {
		return
	}
	v, read := &cs.views[m.view], &cs.read
	if !read.active {
		if int(cs.reads) < model.scope.Reads && v.hasInChain(i) {
			next := *cs
			next.reads++
			next.read = readRequest{
				active:             true,
				member:             uint8(i),
				view:               m.view,
				registerLength:     uint8(m.register.length()),
				acknowledgedLength: uint8(cs.committed.length()),
			}
			model.emitNormalized(&next, newStep("read starts at %d in view %d", i, int(m.view)))
		}
		return
	}
	if m.view != read.view {
		return
	}
	if v.voters.has(i) && !read.confirmedBy.has(i) && m.accepted == acceptedNothing {
		next := *cs
		next.read.confirmedBy |= 1 << i
		model.emitNormalized(&next, newStep("%d confirms that view %d is the latest it knows", i, int(read.view)))
	}
	confirmed := read.confirmedBy.count() >= v.quorum() || model.fault == LeaseRead
	if int(read.member) == i && m.commitsSeen > read.registerLength && confirmed {
		next := *cs
		next.read = readRequest{}
		if m.commitsSeen-1 < read.acknowledgedLength {
			model.violation = fmt.Sprintf("%d answers a read with %d commands, but %d were acknowledged before the read started",
				i, m.commitsSeen-1, read.acknowledgedLength)
		}
		model.emitNormalized(&next, newStep("%d answers the read", i))
	}
}
