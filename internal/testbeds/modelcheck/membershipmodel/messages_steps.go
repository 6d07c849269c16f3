package membershipmodel

import "slices"

// messageModel models one or two agreements and the chain at the level of messages.
type messageModel struct {
	bounds   Bounds
	fault    Fault
	table    *messageTable
	messages []message // Messages sent so far in the node being expanded.

	// emit is called with each successor of the node being expanded, and the step that leads to it as a format and arguments.
	emit func(next *node, step string, args ...any)
}

// expand emits all successors of a node and returns the violated invariant, or "".
//
// Forwarding and acknowledging take precedence over other steps, which does not exclude any behavior.
func (model *messageModel) expand(n *node) string {
	model.readMessages(n)
	if model.forwardAndCommit(n) {
		if n.violation == "" {
			model.emit(n, "registers are forwarded and acknowledged")
		}
		return n.violation
	}
	for i := range model.bounds.Members {
		model.syncOrKill(n, i)
		model.loseDisk(n, i)
		model.appendCommand(n, i)
		model.propose(n, i)
		for _, m := range model.messages {
			model.deliver(n, i, m)
		}
		model.learnDecision(n, i)
	}
	return n.violation
}

func (model *messageModel) readMessages(n *node) {
	model.messages = model.messages[:0]
	for _, number := range n.sent {
		model.messages = append(model.messages, model.table.messages[number])
	}
}

func (model *messageModel) send(n *node, m message) {
	number := model.table.numberOf(m)
	if i, sent := slices.BinarySearch(n.sent, number); !sent {
		n.sent = slices.Insert(n.sent, i, number)
	}
}

// deliver emits the steps in which a member receives a message.
func (model *messageModel) deliver(n *node, i int, m message) {
	switch m.kind {
	case prepare:
		model.handlePrepare(n, i, m)
	case promise:
		model.handlePromise(n, i, m)
	case accept:
		model.handleAccept(n, i, m)
	case forward:
		model.handleForward(n, i, m)
	case accepted: // Handled by learnDecision.
	}
}
