package membershipmodel

import "fmt"

// expandReads has a read begin at a machine, be confirmed by one, or be answered. A read is answered with what is committed
// once a quorum has confirmed, after it was asked, that it knows of no later view.
func (model *reconfigurationModel) expandReads(w *world, i int) {
	m := &w.machines[i]
	if m.view == 0 {
		return
	}
	v, read := &w.views[m.view], &w.read
	if !read.active {
		if int(w.reads) < model.scope.Reads && v.hasInChain(i) {
			next := *w
			next.reads++
			next.read = readRequest{
				active:             true,
				member:             uint8(i),
				view:               m.view,
				heldLength:         uint8(m.held.length()),
				acknowledgedLength: uint8(w.committed.length()),
			}
			model.emitNormalized(&next, newStep("%d is asked in view %d", i, int(m.view)))
		}
		return
	}
	if m.view != read.view {
		return
	}
	if v.voters.has(i) && !read.confirmedBy.has(i) && m.accepted == acceptedNothing {
		next := *w
		next.read.confirmedBy |= 1 << i
		model.emitNormalized(&next, newStep("%d knows of no later view than %d", i, int(read.view)))
	}
	confirmed := read.confirmedBy.count() >= v.quorum() || model.fault == LeaseRead
	if int(read.member) == i && m.commitsSeen > read.heldLength && confirmed {
		next := *w
		next.read = readRequest{}
		if m.commitsSeen-1 < read.acknowledgedLength {
			model.violation = fmt.Sprintf("%d answers with %d commands, %d were acknowledged before it was asked",
				i, m.commitsSeen-1, read.acknowledgedLength)
		}
		model.emitNormalized(&next, newStep("%d answers", i))
	}
}
