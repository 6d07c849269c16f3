package membership

import (
	"reflect"
	"testing"

	"zincloft.example/zincloft/fleet"
)

// newVoter returns the node at an address in an initial view of three members.
func newVoter(t *testing.T, addr string) *Node {
	t.Helper()
	return newCluster(t, 3).node(addr)
}

// successorView returns a view that may follow the node's current one.
func successorView(node *Node, chain ...string) View {
	v := node.View()
	v.Number++
	v.Chain = chain
	return v
}

func prepareFor(node *Node, ballot Ballot) Message {
	base := node.View()
	return Message{Kind: Prepare, From: testMember(ballot.Proposer[:1]), ViewNumber: base.Number + 1, Ballot: ballot, View: &base}
}

func acceptFor(ballot Ballot, v View) Message {
	return Message{Kind: Accept, From: testMember(ballot.Proposer[:1]), ViewNumber: v.Number, Ballot: ballot, View: &v}
}

// expectMessage verifies that a step sent a single message of the given kind, and returns the message.
func expectMessage(t *testing.T, ready Ready, kind MessageKind, afterSave bool) Message {
	t.Helper()
	if len(ready.Messages) != 1 || ready.Messages[0].Message.Kind != kind || ready.Messages[0].AfterSave != afterSave {
		t.Fatalf("got %+v, want one message of kind %d with AfterSave %v", ready, kind, afterSave)
	}
	return ready.Messages[0].Message
}

func TestVoterKeepsPromise(t *testing.T) {
	node := newVoter(t, "a")
	low, high := Ballot{1, "b/0"}, Ballot{2, "c/0"}
	ready := node.Step(0, prepareFor(node, high))
	if promise := expectMessage(t, ready, Promise, true); promise.View != nil || !ready.MustSave {
		t.Errorf("unexpected promise: %+v", ready)
	}
	rejection := expectMessage(t, node.Step(0, prepareFor(node, low)), Reject, false)
	if rejection.Ballot != low || rejection.PriorBallot != high {
		t.Errorf("unexpected rejection: %+v", rejection)
	}
	expectMessage(t, node.Step(0, prepareFor(node, high)), Reject, false) // A ballot is promised only once.
	if ready := node.Step(0, acceptFor(low, successorView(node, "a/0"))); len(ready.Messages) > 0 || ready.MustSave {
		t.Errorf("accepted a ballot lower than the promised one: %+v", ready)
	}
	expectMessage(t, node.Step(0, acceptFor(high, successorView(node, "a/0"))), Accepted, true)
}

// TestPromiseIncludesAcceptedView guards against a promise that omits the accepted view, which may have been decided.
func TestPromiseIncludesAcceptedView(t *testing.T) {
	node := newVoter(t, "a")
	first, second := Ballot{1, "b/0"}, Ballot{2, "c/0"}
	accepted := successorView(node, "a/0", "b/0")
	node.Step(0, acceptFor(first, accepted))
	promise := expectMessage(t, node.Step(0, prepareFor(node, second)), Promise, true)
	if promise.PriorBallot != first || promise.View == nil || !reflect.DeepEqual(*promise.View, accepted) {
		t.Errorf("promise %+v does not include the accepted view", promise)
	}
	if node.ConfirmsLatestView(1) {
		t.Errorf("a voter that has accepted view 2 confirms view 1 as the latest")
	}
}

// TestProposerAdoptsAcceptedView guards against a proposer replacing a view that a voter has accepted, and that may have been
// decided, with its own.
func TestProposerAdoptsAcceptedView(t *testing.T) {
	node := newVoter(t, "a")
	node.beginProposal(0, successorView(node, "a/0", "b/0"))
	ballot := node.proposal.ballot
	node.ready()
	accepted := successorView(node, "a/0", "c/0")
	older := successorView(node, "a/0")
	promise := func(addr string, prior Ballot, v *View) Ready {
		return node.Step(0, Message{Kind: Promise, From: testMember(addr), ViewNumber: 2, Ballot: ballot, PriorBallot: prior, View: v})
	}
	promise("c", Ballot{1, "c/0"}, &accepted)
	ready := promise("b", Ballot{1, "b/0"}, &older)
	if len(ready.Messages) != 3 {
		t.Fatalf("got %+v, want three Accept messages", ready)
	}
	for _, out := range ready.Messages {
		if out.Message.Kind != Accept || !reflect.DeepEqual(*out.Message.View, accepted) {
			t.Errorf("got %+v, want an Accept of the view with the highest ballot", out)
		}
	}
}

func TestViewIsDecidedByQuorum(t *testing.T) {
	node := newVoter(t, "a")
	next := successorView(node, "a/0", "b/0")
	node.beginProposal(0, next)
	node.ready()
	ballot := node.proposal.ballot
	answer := func(kind MessageKind, id string) Ready {
		return node.Step(0, Message{Kind: kind, From: fleet.Member{ID: id, Addr: id[:1]}, ViewNumber: 2, Ballot: ballot})
	}
	for _, id := range []string{"a/0", "a/0", "b/1", "z/0"} { // A duplicate, a former disk of a voter, and a non-member.
		if ready := answer(Promise, id); len(ready.Messages) > 0 {
			t.Fatalf("phase 2 started without a quorum: %+v", ready)
		}
	}
	answer(Promise, "b/0")
	for _, id := range []string{"a/0", "b/1"} {
		if ready := answer(Accepted, id); ready.ViewInstalled {
			t.Fatalf("view decided without a quorum: %+v", ready)
		}
	}
	ready := answer(Accepted, "c/0")
	if !ready.ViewInstalled || !ready.MustSave || !reflect.DeepEqual(node.View(), next) {
		t.Fatalf("view not decided: %+v", ready)
	}
	var notified []string
	for _, out := range ready.Messages {
		if out.Message.Kind == Decided {
			notified = append(notified, out.To.ID)
		}
	}
	if !reflect.DeepEqual(notified, []string{"b/0", "c/0"}) {
		t.Errorf("Decided sent to %v, want b/0 and c/0", notified)
	}
}

func TestRejectedProposerUsesHigherBallot(t *testing.T) {
	node := newVoter(t, "a")
	node.beginProposal(0, successorView(node, "a/0", "b/0"))
	ballot := node.proposal.ballot
	node.Step(0, Message{Kind: Reject, From: testMember("b"), ViewNumber: 2, Ballot: ballot, PriorBallot: Ballot{7, "c/0"}})
	if node.proposal.active {
		t.Fatal("the rejected proposal is still active")
	}
	node.beginProposal(0, successorView(node, "a/0", "b/0"))
	if got := node.proposal.ballot; got != (Ballot{8, "a/0"}) {
		t.Errorf("ballot %v, want round 8", got)
	}
}

func TestNonVoterDoesNotVote(t *testing.T) {
	voter := newVoter(t, "a")
	outsider := New(testMember("z"), voter.State(), nil, func() float64 { return 0 })
	for _, m := range []Message{prepareFor(voter, Ballot{1, "b/0"}), acceptFor(Ballot{1, "b/0"}, successorView(voter, "a/0"))} {
		if ready := outsider.Step(0, m); len(ready.Messages) > 0 || ready.MustSave {
			t.Errorf("a non-voter responded or changed its state: %+v", ready)
		}
	}
	if outsider.ConfirmsLatestView(1) {
		t.Error("a non-voter confirms the view")
	}
}

// TestInstalledViewResetsAgreement guards against promises and accepted views being carried over to the agreement on another
// view.
func TestInstalledViewResetsAgreement(t *testing.T) {
	node := newVoter(t, "a")
	node.Step(0, acceptFor(Ballot{3, "b/0"}, successorView(node, "a/0")))
	decided := successorView(node, "a/0", "b/0")
	ready := node.Step(0, Message{Kind: Decided, From: testMember("b"), ViewNumber: 2, View: &decided})
	if !ready.ViewInstalled || !reflect.DeepEqual(node.State(), DurableState{View: decided}) {
		t.Errorf("state after the installation: %+v", node.State())
	}
	older := View{Number: 1}
	if ready := node.Step(0, Message{Kind: Decided, From: testMember("b"), ViewNumber: 1, View: &older}); ready.ViewInstalled {
		t.Error("an older view was installed")
	}
	// A proposer that missed the decision receives the decided view.
	outdated := prepareFor(newVoter(t, "b"), Ballot{1, "b/0"})
	if answer := expectMessage(t, node.Step(0, outdated), Decided, true); !reflect.DeepEqual(*answer.View, decided) {
		t.Errorf("got %+v, want the decided view", answer)
	}
}
