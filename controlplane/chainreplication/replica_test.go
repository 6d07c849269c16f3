package chainreplication

import (
	"testing"
	"time"

	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/fleet"
)

// chain connects replicas by a queue of messages, which is delivered on demand.
type chain struct {
	t        *testing.T
	now      time.Duration
	replicas map[string]*Replica
	queue    []Outbound
}

func newChain(t *testing.T, ids ...string) *chain {
	c := &chain{t: t, replicas: map[string]*Replica{}}
	for _, id := range ids {
		c.replicas[id] = New(id, Register{}, 0)
	}
	return c
}

func viewOf(number uint64, ids ...string) membership.View {
	v := membership.View{Number: number, Chain: ids}
	for _, id := range ids {
		v.Voters = append(v.Voters, fleet.Member{ID: id})
	}
	return v
}

func (c *chain) install(v membership.View, ids ...string) {
	for _, id := range ids {
		c.queue = append(c.queue, c.replicas[id].InstallView(c.now, v).Messages...)
	}
}

func (c *chain) propose(id string, command Command) CommitCondition {
	condition, ready := c.replicas[id].Propose(c.now, command)
	c.queue = append(c.queue, ready.Messages...)
	return condition
}

// deliver delivers queued messages until the queue is empty.
func (c *chain) deliver() {
	for len(c.queue) > 0 {
		next := c.queue[0]
		c.queue = append(c.queue[1:], c.replicas[next.To].Step(c.now, next.Message).Messages...)
	}
}

func (c *chain) wantCommitted(id string, sequence, viewNumber uint64) {
	c.t.Helper()
	replica := c.replicas[id]
	register, known := replica.Committed()
	if !known || register.Sequence != sequence || replica.CommittedView() != viewNumber {
		c.t.Errorf("%s: committed sequence %d in view %d (known: %v), want %d in view %d",
			id, register.Sequence, replica.CommittedView(), known, sequence, viewNumber)
	}
}

func TestTailCommitsCommand(t *testing.T) {
	c := newChain(t, "a", "b", "c")
	c.install(viewOf(1, "a", "b", "c"), "a", "b", "c")
	c.deliver()
	condition := c.propose("a", configuration(1, "one"))
	if condition != (CommitCondition{ViewNumber: 1, Sequence: 1}) {
		t.Errorf("commit condition %+v", condition)
	}
	c.wantCommitted("a", 0, 1)
	c.deliver()
	for _, id := range []string{"a", "b", "c"} {
		c.wantCommitted(id, 1, 1)
		if !c.replicas[id].ChainSynced() {
			t.Errorf("%s: ChainSynced is false", id)
		}
	}
	if !c.replicas["a"].IsHead() || c.replicas["b"].IsHead() {
		t.Errorf("IsHead: a %v, b %v; want true, false", c.replicas["a"].IsHead(), c.replicas["b"].IsHead())
	}
}

func TestForwardIsSentAfterSave(t *testing.T) {
	replica := New("a", Register{}, 0)
	replica.InstallView(0, viewOf(1, "a", "b"))
	_, ready := replica.Propose(0, configuration(1, "one"))
	if !ready.MustSave || len(ready.Messages) != 1 || !ready.Messages[0].AfterSave {
		t.Errorf("%+v", ready)
	}
}

// TestReplacedHeadCommitsNothing submits a command to a replaced head: no member of the later view accepts its Forward, and
// the new head's register overwrites it.
func TestReplacedHeadCommitsNothing(t *testing.T) {
	c := newChain(t, "a", "b", "c")
	c.install(viewOf(1, "a", "b", "c"), "a", "b", "c")
	c.deliver()
	c.install(viewOf(2, "b", "c"), "b", "c")
	c.propose("a", configuration(1, "lost"))
	c.deliver()
	c.wantCommitted("a", 0, 1)
	c.wantCommitted("b", 0, 2)
	c.propose("b", configuration(2, "kept"))
	c.deliver()

	third := viewOf(3, "b", "c", "a")
	c.install(third, "b", "c", "a")
	c.deliver()
	for _, id := range third.Chain {
		c.wantCommitted(id, 1, 3)
	}
	if latest := c.replicas["a"].Latest(); string(latest.Body) != "kept" {
		t.Errorf("a: latest body %q, want %q", latest.Body, "kept")
	}
}

func TestForwardIsAcceptedFromPredecessorOnly(t *testing.T) {
	newer := &Register{Sequence: 1}
	valid := Message{Kind: Forward, From: "a", ViewNumber: 1, Sequence: 1, Register: newer}
	for _, test := range []struct {
		name    string
		change  func(*Message)
		accepts bool
	}{
		{"from the predecessor", func(*Message) {}, true},
		{"from another member", func(m *Message) { m.From = "c" }, false},
		{"in another view", func(m *Message) { m.ViewNumber = 2 }, false},
		{"without a register", func(m *Message) { m.Register = nil }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			replica := New("b", Register{}, 0)
			replica.InstallView(0, viewOf(1, "a", "b", "c"))
			message := valid
			test.change(&message)
			if ready := replica.Step(0, message); ready.MustSave != test.accepts || (len(ready.Messages) == 1) != test.accepts {
				t.Errorf("%+v", ready)
			}
		})
	}
}

// TestOutdatedForwardIsIgnored verifies that a restarted, synced member ignores a delayed Forward of the same view with an
// older register.
func TestOutdatedForwardIsIgnored(t *testing.T) {
	replica := New("b", Register{Sequence: 2}, 1)
	replica.InstallView(0, viewOf(1, "a", "b"))
	ready := replica.Step(0, Message{Kind: Forward, From: "a", ViewNumber: 1, Sequence: 1, Register: &Register{Sequence: 1}})
	if ready.MustSave || len(ready.Messages) > 0 || replica.Latest().Sequence != 2 {
		t.Errorf("%+v, latest sequence %d, want 2", ready, replica.Latest().Sequence)
	}
}

func TestTickForwardsAgain(t *testing.T) {
	replica := New("a", Register{}, 0)
	replica.InstallView(0, viewOf(1, "a", "b"))
	if ready := replica.Tick(forwardRetryInterval - 1); len(ready.Messages) > 0 {
		t.Errorf("forwarded before the retry interval: %+v", ready)
	}
	if ready := replica.Tick(forwardRetryInterval); len(ready.Messages) != 1 || ready.Messages[0].Message.Kind != Forward {
		t.Errorf("not forwarded again: %+v", ready)
	}
	replica.Step(forwardRetryInterval, Message{Kind: Commit, From: "b", ViewNumber: 1})
	if ready := replica.Tick(10 * forwardRetryInterval); len(ready.Messages) > 0 {
		t.Errorf("forwarded again after the commit: %+v", ready)
	}
}

func TestCommitReachesMembersOutsideChain(t *testing.T) {
	c := newChain(t, "a", "b", "c")
	v := viewOf(1, "a", "b", "c")
	v.Chain = []string{"a", "b"}
	c.install(v, "a", "b", "c")
	c.propose("a", configuration(1, "one"))
	c.deliver()
	c.wantCommitted("c", 1, 1)
	if c.replicas["c"].ChainSynced() {
		t.Errorf("c is outside the chain but reports ChainSynced")
	}
}

func TestSendCatchUp(t *testing.T) {
	c := newChain(t, "a", "b")
	c.install(viewOf(1, "a"), "a")
	c.propose("a", configuration(1, "one"))
	c.deliver()
	a := c.replicas["a"]
	sent := func(now time.Duration, id string, sequence uint64, known bool) bool {
		return len(a.SendCatchUp(now, id, sequence, known).Messages) > 0
	}
	if sent(0, "a", 0, false) || sent(0, "b", 1, true) {
		t.Error("sent to the replica itself or to an up-to-date member")
	}
	if !sent(0, "b", 0, true) || sent(catchUpRetryInterval-1, "b", 0, true) || !sent(catchUpRetryInterval, "b", 0, false) {
		t.Error("the retry interval is not observed")
	}
}

// TestCatchUpDoesNotCommitOwnView guards against a command being reported as committed in an older view because a register
// with the same sequence was committed in a later view.
func TestCatchUpDoesNotCommitOwnView(t *testing.T) {
	replica := New("a", Register{}, 0)
	replica.InstallView(0, viewOf(1, "a", "b"))
	ready := replica.Step(0, Message{Kind: CatchUp, From: "c", ViewNumber: 2, Register: &Register{Sequence: 5}})
	if !ready.CommittedChanged || replica.CommittedView() != 2 || replica.ChainSynced() {
		t.Errorf("%+v, committed view %d", ready, replica.CommittedView())
	}
	if ready := replica.Step(0, Message{Kind: CatchUp, From: "c", ViewNumber: 3, Register: &Register{Sequence: 4}}); ready.CommittedChanged {
		t.Error("an older register was committed")
	}
}
