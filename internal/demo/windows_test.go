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

	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/dataplane/capacity"
)

func (g *Cluster) command(c maintenance.Command) int {
	body, _ := json.Marshal(c)
	status, _ := g.call("windows.command", "", body)
	return status
}

func (g *Cluster) shown() (s controller.MaintenanceStatus) {
	resp, err := http.Post("http://"+g.ControlAddress+"/api/rpc?call=windows.describe", "application/json", nil)
	if err == nil {
		json.NewDecoder(resp.Body).Decode(&s)
		resp.Body.Close()
	}
	return s
}

func (g *Cluster) ready(i int) bool {
	resp, err := http.Get("http://" + g.ReadinessAddresses[i] + "/api/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// orders sends orders until it is told to stop, as the platform and its clients would: to a governor that is ready, again
// elsewhere only after a promise that it has not run.
type orders struct {
	g                           *Cluster
	stop                        atomic.Bool
	sent, answered, doubt, lost atomic.Int64
	moved                       atomic.Int64 // refused by one governor, taken by the other
	wg                          sync.WaitGroup
}

func (o *orders) run(worker int) {
	defer o.wg.Done()
	for n := 0; !o.stop.Load(); n++ {
		order := fmt.Sprintf("w%d.%d", worker, n)
		o.sent.Add(1)
		done := false
		for try := 0; try < 40 && !done; try++ {
			i := (worker + n + try) % len(o.g.FrontAddresses)
			q, _ := http.NewRequest(http.MethodPost, "http://"+o.g.FrontAddresses[i]+"/orders/"+order, strings.NewReader("charge"))
			q.Header.Set("X-Attempt-Id", fmt.Sprintf("%s/%d", order, try))
			resp, err := http.DefaultClient.Do(q)
			if err != nil {
				o.lost.Add(1)
				break
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			switch resp.StatusCode {
			case http.StatusOK:
				o.answered.Add(1)
				done = true
			case http.StatusServiceUnavailable, http.StatusTooManyRequests:
				o.moved.Add(1)
			default:
				o.doubt.Add(1)
				done = true
			}
		}
	}
}

// TestWindowOnLiveOrders drains each of two foragers in turn under orders, with stand-in replicas that count every charge.
func TestWindowOnLiveOrders(t *testing.T) {
	Convey("Given a gateway under orders, with as much agreed as one forager carries", t, func() {
		g, err := Start(t.TempDir(), io.Discard, 3)
		So(err, ShouldBeNil)
		for _, r := range g.Replicas {
			r.ServiceTime = 5 * time.Millisecond
		}
		o := &orders{g: g}
		for w := range 4 {
			o.wg.Add(1)
			go o.run(w)
		}
		So(g.command(maintenance.Command{Verb: "ask", Nodes: []string{"forager-1"}}), ShouldEqual, http.StatusConflict)
		So(g.command(maintenance.Command{Verb: "agree", AgreedFloors: []capacity.Floor{{Region: "here", Group: capacity.Orders, Minimum: 1}}}), ShouldEqual, http.StatusOK)
		So(until("both measured", func() bool {
			s := g.shown()
			return len(s.Nodes) == 2 && s.Nodes[0].Capacity[capacity.Orders] > 1 && s.Nodes[1].Capacity[capacity.Orders] > 1
		}), ShouldBeNil)
		So(g.command(maintenance.Command{Verb: "ask", WindowName: "kernel", Nodes: []string{"forager-1", "forager-2"}}), ShouldEqual, http.StatusOK)
		phase := func(node string) maintenance.Phase {
			for _, w := range g.shown().Windows {
				if w.Node == node {
					return w.Phase
				}
			}
			return ""
		}
		So(until("the first drained", func() bool { return phase("forager-1") == maintenance.Drained }), ShouldBeNil)
		So(phase("forager-2"), ShouldEqual, maintenance.Requested)
		So(g.ready(0), ShouldBeFalse)
		So(g.ready(1), ShouldBeTrue)
		So(g.command(maintenance.Command{Verb: "finish", Nodes: []string{"forager-1"}}), ShouldEqual, http.StatusOK)
		So(until("the second drained", func() bool { return phase("forager-2") == maintenance.Drained }), ShouldBeNil)
		So(g.ready(0), ShouldBeTrue)
		So(g.command(maintenance.Command{Verb: "finish", Nodes: []string{"forager-2"}}), ShouldEqual, http.StatusOK)
		So(until("all serving", func() bool { return len(g.shown().Windows) == 0 && g.ready(0) && g.ready(1) }), ShouldBeNil)
		o.stop.Store(true)
		o.wg.Wait()
		ran := map[string]int{}
		for _, r := range g.Replicas {
			for attempt, n := range r.Executions() {
				order, _, _ := strings.Cut(attempt, "/")
				ran[order] += n
			}
		}
		twice := 0
		for order, n := range ran {
			if n > 1 && strings.HasPrefix(order, "w") {
				twice++
			}
		}
		t.Logf("%d orders, %d answered, %d passed over, %d in doubt, %d lost, %d charged twice", o.sent.Load(), o.answered.Load(), o.moved.Load(), o.doubt.Load(), o.lost.Load(), twice)
		So(twice, ShouldEqual, 0)
		So(o.answered.Load(), ShouldEqual, o.sent.Load())
		So(o.moved.Load(), ShouldBeGreaterThan, 0)
		So(g.Stop(), ShouldBeNil)
	})
}
