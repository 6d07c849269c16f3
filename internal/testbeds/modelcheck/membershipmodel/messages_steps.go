package membershipmodel

import "slices"

// messageModel is the rules of one agreement and of the chain, with all messages.
type messageModel struct {
	bounds   Bounds
	fault    Fault
	table    *messageTable
	messages []message // Those sent in the node at hand.

	// emit takes a node that may follow the one at hand, and the step that leads there as a format and its arguments.
	emit func(next *node, step string, args ...any)
}

// expand emits every node that may follow and returns the invariant that is violated, if one is.
//
// What may happen at once without making anything else impossible does so before all else.
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
		model.enterCommand(n, i)
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

// deliver has a member receive a message.
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
	case accepted: // See learnDecision.
	}
}
