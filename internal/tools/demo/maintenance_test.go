package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/capacity"
	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/fleet"
)

// operator makes control calls to a cluster.
type operator struct {
	t       *testing.T
	cluster *Cluster
}

// command sends a maintenance command and returns the HTTP status of the response.
func (o operator) command(command maintenance.Command) int {
	o.t.Helper()
	body, err := json.Marshal(command)
	if err != nil {
		o.t.Fatal(err)
	}
	status, err := o.cluster.call(o.t.Context(), "windows.command", "", body)
	if err != nil {
		o.t.Fatal(err)
	}
	return status
}

// status returns the maintenance status, empty if it is not available.
func (o operator) status() (status controller.MaintenanceStatus) {
	o.t.Helper()
	request, err := http.NewRequestWithContext(o.t.Context(), http.MethodPost, "http://"+o.cluster.ControlAddress+"/api/rpc?call=windows.describe", nil)
	if err != nil {
		o.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return controller.MaintenanceStatus{}
	}
	return status
}

// phase returns the phase of a node's window, empty if it has none.
func (o operator) phase(node string) fleet.Phase {
	for _, window := range o.status().Windows {
		if window.Node == node {
			return window.Phase
		}
	}
	return ""
}

// ready reports whether a gateway's readiness check passes.
func (o operator) ready(gateway int) bool {
	o.t.Helper()
	request, err := http.NewRequestWithContext(o.t.Context(), http.MethodGet, "http://"+o.cluster.ReadinessAddresses[gateway]+"/api/readiness", nil)
	if err != nil {
		o.t.Fatal(err)
	}
	status, err := send(request)
	return err == nil && status == http.StatusOK
}

const (
	orderWorkers     = 4
	attemptsPerOrder = 40
)

// orderLoad sends unsafe requests (orders) until it is stopped. It retries an order at the other gateway only if the response proves
// that the order was not executed.
type orderLoad struct {
	t       *testing.T
	cluster *Cluster
	stopped atomic.Bool
	running sync.WaitGroup

	sent, answered, unknown, lost atomic.Int64 // counts of orders
	rejected                      atomic.Int64 // count of attempts, each of which is retried
}

func (l *orderLoad) start() {
	for worker := range orderWorkers {
		l.running.Go(func() {
			for n := 0; !l.stopped.Load(); n++ {
				l.sent.Add(1)
				l.place(worker+n, fmt.Sprintf("w%d.%d", worker, n))
			}
		})
	}
}

func (l *orderLoad) stop() {
	l.stopped.Store(true)
	l.running.Wait()
}

// place sends an order, first to the given gateway.
func (l *orderLoad) place(firstGateway int, order string) {
	for attempt := range attemptsPerOrder {
		front := l.cluster.FrontAddresses[(firstGateway+attempt)%len(l.cluster.FrontAddresses)]
		request := newRequest(l.t, http.MethodPost, front, "/orders/"+order, fmt.Sprintf("%s/%d", order, attempt), strings.NewReader("charge"))
		status, err := send(request)
		if status == 0 && err != nil {
			l.lost.Add(1)
			return
		}
		switch status {
		case http.StatusOK:
			l.answered.Add(1)
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			l.rejected.Add(1)
		default:
			l.unknown.Add(1)
			return
		}
	}
}

// duplicateExecutions counts the orders that were executed more than once.
func (l *orderLoad) duplicateExecutions() int {
	executions := map[string]int{}
	for _, replica := range l.cluster.Replicas {
		for attempt, count := range replica.Executions() {
			order, _, _ := strings.Cut(attempt, "/")
			executions[order] += count
		}
	}
	duplicates := 0
	for order, count := range executions {
		if count > 1 && strings.HasPrefix(order, "w") {
			duplicates++
		}
	}
	return duplicates
}

// TestMaintenanceUnderLoad checks that draining two gateways in turn under load neither loses an order nor executes one twice.
func TestMaintenanceUnderLoad(t *testing.T) {
	Convey("Given a cluster under load, with an agreed capacity floor that one gateway can serve", t, func() {
		cluster, err := Start(t.TempDir(), io.Discard, 3)
		So(err, ShouldBeNil)
		for _, replica := range cluster.Replicas {
			replica.ServiceTime = 5 * time.Millisecond
		}
		load := &orderLoad{t: t, cluster: cluster}
		load.start()
		op := operator{t: t, cluster: cluster}
		So(op.command(maintenance.Command{Verb: maintenance.VerbAsk, Nodes: []string{"gateway-1"}}), ShouldEqual, http.StatusConflict)
		So(op.command(maintenance.Command{Verb: maintenance.VerbAgree, AgreedFloors: []capacity.Floor{{Region: "here", Group: capacity.Orders, Minimum: 1}}}), ShouldEqual, http.StatusOK)
		So(poll("the capacity of both gateways to be measured", func() bool {
			nodes := op.status().Nodes
			return len(nodes) == 2 && nodes[0].Capacity[capacity.Orders] > 1 && nodes[1].Capacity[capacity.Orders] > 1
		}), ShouldBeNil)
		So(op.command(maintenance.Command{Verb: maintenance.VerbAsk, WindowName: "kernel", Nodes: []string{"gateway-1", "gateway-2"}}), ShouldEqual, http.StatusOK)
		So(poll("gateway-1 to be drained", func() bool { return op.phase("gateway-1") == fleet.PhaseDrained }), ShouldBeNil)
		So(op.phase("gateway-2"), ShouldEqual, fleet.PhaseRequested)
		So(op.ready(0), ShouldBeFalse)
		So(op.ready(1), ShouldBeTrue)
		So(op.command(maintenance.Command{Verb: maintenance.VerbFinish, Nodes: []string{"gateway-1"}}), ShouldEqual, http.StatusOK)
		So(poll("gateway-2 to be drained", func() bool { return op.phase("gateway-2") == fleet.PhaseDrained }), ShouldBeNil)
		So(op.ready(0), ShouldBeTrue)
		So(op.command(maintenance.Command{Verb: maintenance.VerbFinish, Nodes: []string{"gateway-2"}}), ShouldEqual, http.StatusOK)
		So(poll("both gateways to serve again", func() bool { return len(op.status().Windows) == 0 && op.ready(0) && op.ready(1) }), ShouldBeNil)
		load.stop()
		duplicates := load.duplicateExecutions()
		t.Logf("%d orders, %d answered, %d attempts rejected, %d unknown, %d lost, %d executed twice", load.sent.Load(), load.answered.Load(),
			load.rejected.Load(), load.unknown.Load(), load.lost.Load(), duplicates)
		So(duplicates, ShouldEqual, 0)
		So(load.answered.Load(), ShouldEqual, load.sent.Load())
		So(load.rejected.Load(), ShouldBeGreaterThan, 0)
		So(cluster.Stop(), ShouldBeNil)
	})
}
