package scalerun

import (
	"context"
	"maps"
	"slices"
	"time"
)

// snapshot is everything that is counted, at one time.
type snapshot struct {
	at        time.Time
	processes []usage // of members, then of real gateways

	gatewayReceived, gatewaySent, replicaReceived, replicaSent map[string]Count
}

func (e *experiment) snapshot() (snapshot, error) {
	var processes []usage
	for _, p := range e.processes() {
		used, err := p.usage()
		if err != nil {
			return snapshot{}, err
		}
		processes = append(processes, used)
	}
	return snapshot{
		at:              time.Now(),
		processes:       processes,
		gatewayReceived: e.gatewayReceived.Snapshot(),
		gatewaySent:     e.gatewaySent.Snapshot(),
		replicaReceived: e.replicaReceived.Snapshot(),
		replicaSent:     e.replicaSent.Snapshot(),
	}, nil
}

// measureSteadyState measures a period in which nothing happens but heartbeats, reports and what follows from them.
func (e *experiment) measureSteadyState(ctx context.Context) error {
	before, err := e.snapshot()
	if err != nil {
		return err
	}
	if err := e.wait(ctx, e.SteadyTime); err != nil {
		return err
	}
	after, err := e.snapshot()
	if err != nil {
		return err
	}
	seconds := after.at.Sub(before.at).Seconds()
	processes := e.addProcessRows(before, after, seconds)
	e.addTrafficRows(before, after, seconds, processes)
	return nil
}

// processTotals sums up what daemons used in a period.
type processTotals struct {
	cores           float64 // of all daemons
	memberRead      float64 // bytes
	realGatewayRead float64 // bytes
}

func (e *experiment) addProcessRows(before, after snapshot, seconds float64) processTotals {
	var totals processTotals
	for i, used := range after.processes {
		earlier := before.processes[i]
		cores := (used.CPU - earlier.CPU).Seconds() / seconds
		read := used.Read - earlier.Read
		role, count := roleMember, float64(e.Members)
		if i < e.Members {
			totals.memberRead += read
		} else {
			role, count = roleRealGateway, float64(e.RealGateways)
			totals.realGatewayRead += read
		}
		totals.cores += cores
		e.addRow(role, "processor", "% of a core", 100*cores/count)
		e.addRow(role, "memory", "MB", used.Memory/bytesPerMB/count)
		e.addRow(role, "connections", "", used.Sockets/count)
		e.addRow(role, "read", "B/s", read/seconds/count)
	}
	e.rows = sumRows(e.rows)
	return totals
}

func (e *experiment) addTrafficRows(before, after snapshot, seconds float64, processes processTotals) {
	gateways, replicas, members := float64(len(e.gateways)), float64(len(e.replicas)), float64(e.Members)
	received := e.addKinds(roleGatewayReceived, gateways, seconds, before.gatewayReceived, after.gatewayReceived)
	sent := e.addKinds(roleGatewaySent, gateways, seconds, before.gatewaySent, after.gatewaySent)
	heartbeats := e.addKinds(roleReplicaSent, replicas, seconds, before.replicaSent, after.replicaSent)
	e.addKinds(roleReplicaReceived, replicas, seconds, before.replicaReceived, after.replicaReceived)
	e.addRow(roleGateway, "control bytes, both ways", "B/s", (received+sent)/seconds/gateways)
	// What a member reads is what gateways and replicas send, and the rest is other members'. Real gateways are taken to send as
	// much as synthetic ones.
	realGatewaysSent := sent / gateways * float64(e.RealGateways)
	fromMembers := max(processes.memberRead-sent-realGatewaysSent-heartbeats, 0)
	e.addRow(roleMember, "read from gateways", "B/s", (sent+realGatewaysSent)/seconds/members)
	e.addRow(roleMember, "read from replicas", "B/s", heartbeats/seconds/members)
	e.addRow(roleMember, "read from members", "B/s", fromMembers/seconds/members)
	e.addRow(roleMember, "written to gateways", "B/s", (received+processes.realGatewayRead)/seconds/members)
	e.addRow(roleAll, "processor of members and real gateways", "% of a core", 100*processes.cores)
	e.addRow(roleSynthetic, "memory", "MB", ownMemory()/bytesPerMB)
	e.logf("steady: members and real gateways use %.2f cores; a gateway receives %.0f and sends %.0f B/s",
		processes.cores, received/seconds/gateways, sent/seconds/gateways)
}

// addKinds adds rows for each kind of message, for each one of count senders or receivers, and returns the bytes of all.
func (e *experiment) addKinds(role string, count, seconds float64, before, after map[string]Count) float64 {
	for _, kind := range slices.Sorted(maps.Keys(after)) {
		messages := float64(after[kind].Messages - before[kind].Messages)
		bytes := float64(after[kind].Bytes - before[kind].Bytes)
		e.addRow(role, kind, "1/s", messages/seconds/count)
		e.addRow(role, kind, "B/s", bytes/seconds/count)
	}
	return bytesBetween(before, after)
}

// addQuantiles adds rows for the median, the 99th percentile and the greatest of some values; it sorts them.
func (e *experiment) addQuantiles(role, metric, unit string, values []float64) {
	if len(values) == 0 {
		return
	}
	slices.Sort(values)
	quantile := func(q float64) float64 { return values[min(int(q*float64(len(values))), len(values)-1)] }
	e.addRow(role, metric+", p50", unit, quantile(0.5))
	e.addRow(role, metric+", p99", unit, quantile(0.99))
	e.addRow(role, metric+", all", unit, values[len(values)-1])
}
