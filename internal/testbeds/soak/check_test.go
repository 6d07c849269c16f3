package soak

import (
	"slices"
	"testing"
	"time"

	"zincloft.example/zincloft/internal/testbeds/standin/shardreplica"
)

const second = time.Second

// validRecord returns a record without faults and violations: one replica, one configuration, one request.
func validRecord() *Record {
	return &Record{
		Requests:   []Request{{ID: "r1", Gateway: "gateway-1", Kind: UnsafeRequest, SentAt: 10 * second, EndedAt: 10*second + 20*time.Millisecond, Status: 200, Body: "body of r1 from i-1\n"}},
		Executions: []Execution{{RequestID: "r1", Instance: "i-1", At: 10*second + 10*time.Millisecond}},
		Instances:  []*Instance{{ID: "i-1", Service: "orders", Zone: "c"}},
		Operations: []Operation{
			{Kind: PutOperation, Member: "member-1", Version: 5, Call: 1 * second, Return: 2 * second, Status: 200},
			{Operator: finalReadOperator, Kind: ReadOperation, Member: "member-2", Version: 5, Call: 60 * second, Return: 61 * second, Status: 200},
		},
		RecoveredAt: 50 * second,
		EndedAt:     70 * second,
	}
}

// probe returns a probe of gateway-1 for configuration version 5.
func probe(sentAt time.Duration, status int) Request {
	return Request{ID: "p" + sentAt.String(), Gateway: "gateway-1", Kind: ProbeRequest, Version: 5, SentAt: sentAt, EndedAt: sentAt + 10*time.Millisecond, Status: status}
}

// TestCheckFindsEachRule breaks one rule at a time in a valid record and expects exactly that violation.
func TestCheckFindsEachRule(t *testing.T) {
	if violations := Check(validRecord()); len(violations) > 0 {
		t.Fatalf("violations in the valid record: %v", violations)
	}
	for rule, breaks := range map[Rule]func(*Record){
		RuleExecutedTwice: func(r *Record) {
			r.Executions = append(r.Executions, Execution{RequestID: "r1", Instance: "i-1", At: 11 * second})
		},
		RuleRejectedExecuted: func(r *Record) { r.Requests[0].Status = 503 },
		RuleResponseMismatch: func(r *Record) { r.Requests[0].Body = "body of r2 from i-1\n" },
		RuleUnknownRequest: func(r *Record) {
			r.Executions = append(r.Executions, Execution{RequestID: "r9", Instance: "i-1", At: second})
		},
		RuleDeadlineExceeded: func(r *Record) { r.Requests[0].EndedAt = 13 * second },
		RuleLinearizability: func(r *Record) {
			r.Operations = append(r.Operations, Operation{Kind: ReadOperation, Member: "member-3", Version: 4, Call: 20 * second, Return: 21 * second, Status: 200})
		},
		RuleConfigCorrupted: func(r *Record) { r.Operations[1].Altered = true },
		RuleConfigLost:      func(r *Record) { r.Operations[1].Status = 503 },
		RuleStaleConfig: func(r *Record) {
			r.Requests = append(r.Requests, probe(5*second, 404))
		},
		RuleDeparture: func(r *Record) { r.Instances[0].AcknowledgedAt = 7 * second },
		RuleEvacuation: func(r *Record) {
			r.Operations = append(r.Operations, Operation{Kind: EvacuateOperation, Zone: "c", Call: 3 * second, Return: 4 * second, Status: 200})
		},
		RuleUnacknowledged: func(r *Record) {
			r.Operations = append(r.Operations,
				Operation{Kind: PutOperation, Version: 6, Call: 30 * second, Return: 31 * second, Status: 503},
				Operation{Kind: PutOperation, Version: 6, Call: 34 * second, Return: 36 * second, Status: 503})
		},
		RuleUnexpectedExit: func(r *Record) {
			r.Processes = append(r.Processes, ProcessEvent{Process: "member-1", Event: ProcessEnded, At: 40 * second})
		},
		RuleInternalFault: func(r *Record) { r.Findings = append(r.Findings, Finding{Process: "gateway-1", Text: "panic: "}) },
		RuleRecovery:      func(r *Record) { r.RecoveredAt = 0 },
		RuleOwner:         func(r *Record) { holdByTwoReplicas(r, 5*second) },
		RuleDoubleHold: func(r *Record) {
			holdByTwoReplicas(r, 5*second)
			r.ShardExecutions = r.ShardExecutions[:1]
		},
		RuleKeysUnserved: func(r *Record) { r.UnservedKeys = []uint16{7} },
		RuleShardUnserved: func(r *Record) {
			r.Requests = append(r.Requests, Request{ID: "r2", Gateway: "gateway-1", Kind: ShardSafeRequest, SentAt: 12 * second, EndedAt: 12 * second, Status: 503})
		},
		RuleUnresponsive: func(r *Record) {
			r.Faults = []FaultEvent{{Fault: Fault{Kind: PauseHead}, BeganAt: 30 * second, EndedAt: 35 * second}}
			r.Stalls = []Stall{{Began: 33 * second, Ended: 33*second + longStall}}
			r.Silences = []Silence{{Member: "member-1", From: 30 * second, To: 38 * second}, {Member: "member-2", From: 30 * second, To: 40 * second}}
		},
		RuleConnectionLost: func(r *Record) {
			r.Requests = append(r.Requests, Request{ID: "r2", Gateway: "gateway-1", Kind: SafeRequest, SentAt: 12 * second, EndedAt: 12 * second, Reused: true})
		},
	} {
		record := validRecord()
		breaks(record)
		violations := Check(record)
		if len(violations) != 1 || violations[0].Rule != rule {
			t.Errorf("rule %q: got violations %v", rule, violations)
		}
	}
}

// holdByTwoReplicas adds calls by which two replicas hold key 7 from two seconds after a time on, and executions of both on it.
func holdByTwoReplicas(r *Record, at time.Duration) {
	for i, replica := range []string{"s-1", "s-2"} {
		granted := at + time.Duration(i)*2*second
		r.Instances = append(r.Instances, &Instance{ID: replica, Service: shardedService})
		r.ShardCalls = append(r.ShardCalls, shardreplica.Call{
			At: granted, Until: granted + 4*second, Sender: "member-1", Replica: replica, Path: "/api/grant", To: 99, Fence: uint64(i), Status: 200,
		})
		r.ShardExecutions = append(r.ShardExecutions, shardreplica.Execution{Replica: replica, Service: shardedService, Attempt: replica, Key: 7, Begin: at + 3*second})
	}
}

// TestCheckLeavesOutHeldBackGrants verifies that a grant is left out only if it arrives right after its sender was resumed or its link healed.
func TestCheckLeavesOutHeldBackGrants(t *testing.T) {
	for _, test := range []struct {
		resumption Resumption
		found      bool
	}{
		{Resumption{Member: "member-1", At: 7*second - thawSlack}, false},
		{Resumption{Member: "member-1", Instance: "s-2", At: 7 * second}, false},
		{Resumption{Member: "member-1", At: 7*second - thawSlack - time.Millisecond}, true},
		{Resumption{Member: "member-1", At: 7*second + resumptionSlack + time.Millisecond}, true},
		{Resumption{Member: "member-2", At: 7 * second}, true},
		{Resumption{Member: "member-1", Instance: "s-9", At: 7 * second}, true},
	} {
		record := validRecord()
		holdByTwoReplicas(record, 5*second)
		record.Resumptions = []Resumption{test.resumption}
		if found := len(Check(record)) > 0; found != test.found {
			t.Errorf("%+v: violation reported: %v, want %v", test.resumption, found, test.found)
		}
	}
}

// TestCheckExcusesMachineStalls verifies that a request may fail after a stall of the machine, for as long as contact takes.
func TestCheckExcusesMachineStalls(t *testing.T) {
	for ended, found := range map[time.Duration]bool{9 * second: false, 8 * second: true, 13 * second: true} {
		record := validRecord()
		record.Requests = append(record.Requests, Request{ID: "r2", Gateway: "gateway-1", Kind: ShardSafeRequest, SentAt: 12 * second, EndedAt: 12 * second, Status: 503})
		record.Stalls = []Stall{{Began: ended - 200*time.Millisecond, Ended: ended}}
		if got := len(Check(record)) > 0; got != found {
			t.Errorf("stall until %v: violation reported: %v, want %v", ended, got, found)
		}
	}
}

// TestCheckCountsHoldsOfRunningReplicas verifies that a hold ends with its replica and with a release.
func TestCheckCountsHoldsOfRunningReplicas(t *testing.T) {
	for name, ends := range map[string]func(*Record){
		"crash": func(r *Record) { r.Instances[1].EndedAt = 6 * second },
		"release": func(r *Record) {
			r.ShardCalls = slices.Insert(r.ShardCalls, 1, shardreplica.Call{At: 6 * second, Replica: "s-1", Path: "/api/release", To: 99, Fence: 9, Status: 200})
		},
	} {
		record := validRecord()
		holdByTwoReplicas(record, 5*second)
		ends(record)
		if violations := Check(record); len(violations) > 0 {
			t.Errorf("%s: got violations %v", name, violations)
		}
	}
}

// TestCheckFindsConfigurationRollback verifies that a rollback is reported even during faults, which excuse an outdated configuration,
// but not after a restart of the gateway.
func TestCheckFindsConfigurationRollback(t *testing.T) {
	record := validRecord()
	record.Faults = []FaultEvent{{Fault: Fault{Kind: PartitionMember}, BeganAt: 4 * second, EndedAt: 9 * second}}
	served := probe(5*second, 200)
	served.Body = "body of " + served.ID + " from i-1\n"
	record.Executions = append(record.Executions, Execution{RequestID: served.ID, Instance: "i-1", At: 5 * second})
	record.Requests = append(record.Requests, served, probe(6*second, 404))
	violations := Check(record)
	if len(violations) != 1 || violations[0].Rule != RuleConfigRollback {
		t.Errorf("got violations %v", violations)
	}
	record.Processes = []ProcessEvent{{Process: "gateway-1", Event: ProcessStarted, At: 5*second + 500*time.Millisecond}}
	if violations := Check(record); len(violations) > 0 {
		t.Errorf("after a gateway restart: %v", violations)
	}
}

// TestFaultsSuspendContactRules verifies that rules that require contact with the control plane are suspended during faults on it or on
// the gateway and for the contact bound after them, but not during faults of callers.
func TestFaultsSuspendContactRules(t *testing.T) {
	for _, test := range []struct {
		kind  FaultKind
		ended time.Duration
		found bool
	}{
		{PauseMember, 8 * second, false},
		{PauseMember, 6 * second, true},
		{PauseGateway, 8 * second, false},
		{ExhaustControlConnections, 8 * second, true},
		{HostileClients, 8 * second, true},
	} {
		record := validRecord()
		record.Instances[0].AcknowledgedAt = 7 * second
		record.Faults = []FaultEvent{{Fault: Fault{Kind: test.kind}, BeganAt: 5 * second, EndedAt: test.ended}}
		found := slices.ContainsFunc(Check(record), func(violation Violation) bool { return violation.Rule == RuleDeparture })
		if found != test.found {
			t.Errorf("%s until %v: RuleDeparture reported: %v, want %v", test.kind, test.ended, found, test.found)
		}
	}
}

// TestGenerate verifies that a seed always generates the same schedule, that an episode wipes at most one disk, and that Coverage counts
// overlapping faults.
func TestGenerate(t *testing.T) {
	for seed := range uint64(200) {
		schedule := Generate(seed, 3)
		if again := Generate(seed, 3); !slices.Equal(schedule.Faults, again.Faults) {
			t.Fatalf("seed %d generates different schedules", seed)
		}
		wipes := map[time.Duration]int{}
		for _, fault := range schedule.Faults {
			if fault.Kind.losesDisk() {
				wipes[fault.At/episodeInterval]++
			}
		}
		for episode, count := range wipes {
			if count > 1 {
				t.Errorf("seed %d, episode %d: %d disks are wiped", seed, episode, count)
			}
		}
	}
	coverage := Coverage{}
	coverage.Add([]FaultEvent{
		{Fault: Fault{Kind: KillMember}, BeganAt: 0, EndedAt: 2 * second},
		{Fault: Fault{Kind: PartitionMember}, BeganAt: second, EndedAt: 3 * second},
		{Fault: Fault{Kind: PauseGateway}, BeganAt: 4 * second, EndedAt: 5 * second},
	})
	if len(coverage) != 1 || coverage[[2]FaultKind{PartitionMember, KillMember}] != 1 {
		t.Errorf("coverage %v", coverage)
	}
}
