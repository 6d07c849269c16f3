package gateway

import (
	"fmt"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/internal/daemons/nodesettings"
	"zincloft.example/zincloft/internal/daemons/program"
	"zincloft.example/zincloft/internal/testbeds/standin/hostile"
	"zincloft.example/zincloft/messages"
)

const (
	hostileRate     = 0.1
	hostileRequests = 4000 // unless ZINCLOFT_HOSTILE is set
	hostileClients  = 48
	releaseInterval = 500 * time.Millisecond
)

const hostileConfiguration = `{"version":"00000001","services":[{"name":"svc","cold_per_s":4}],"limits":{"max_body_bytes":1000000,"max_header_bytes":16384,"header_timeout":"2s","idle_timeout":"5s"},
"virtual_hosts":[{"hostname":"h.example","path_routes":[
{"name":"s","path_prefix":"/s/","kind":"safe","timeout":"2s","target_latency":"100ms","max_attempts":3,"service":"svc"},
{"name":"u","path_prefix":"/u/","kind":"unsafe","timeout":"2s","target_latency":"100ms","max_attempts":3,"service":"svc"}]}]}`

func countDescriptors() int {
	names, _ := os.ReadDir("/proc/self/fd")
	return len(names)
}

// waitUntil waits up to ten seconds for a condition and reports whether it holds.
func waitUntil(ok func() bool) bool {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); runtime.Gosched() {
		if ok() {
			return true
		}
	}
	return ok()
}

// TestHostile runs a gateway between misbehaving clients and replicas. It guards against responses to the wrong client, double
// execution of unsafe requests, execution of requests that were rejected or smuggled, and leaks of memory, goroutines and file
// descriptors. ZINCLOFT_HOSTILE sets the number of requests, ZINCLOFT_SEED the seed.
func TestHostile(t *testing.T) {
	requestCount := hostileRequests
	if n, err := strconv.Atoi(os.Getenv("ZINCLOFT_HOSTILE")); err == nil {
		requestCount = n
	}
	seed, _ := strconv.ParseUint(os.Getenv("ZINCLOFT_SEED"), 10, 64)
	set, err := nodesettings.Parse([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	set.FileDescriptors, set.MemoryMB = 2000, 256
	log := &logBuffer{}
	f, err := New(set, program.NewLogger(log, "gateway"))
	if err != nil {
		t.Fatal(err)
	}
	f.frontListener = listen(t)
	recorder := hostile.NewRecorder()
	var replicas []*hostile.Replica
	var addrs []string
	for i := range 24 {
		upstreamReplica := startReplica(t, fmt.Sprint(i))
		r := hostile.New("", seed+uint64(i), hostileRate, recorder)
		upstreamReplica.SetConnectionHandler(r.Serve)
		replicas, addrs = append(replicas, r), append(addrs, upstreamReplica.Addr())
	}
	// release replaces all instances by new ones at the same addresses, which discards what was learned about the old ones.
	release := func(n int) {
		st := &messages.StateUpdate{Full: true, Sequence: 1, ConfigVersion: 1, Config: []byte(hostileConfiguration)}
		for i, r := range replicas {
			id := fmt.Sprintf("i%d.%d", i, n)
			r.SetID(id)
			st.Instances = append(st.Instances, fleet.Instance{ID: id, Service: "svc", Addr: addrs[i], Zone: "a", Slots: 64})
		}
		f.applyUpdate(st)
	}
	release(0)
	defer closeQuietly(f.server.Load())

	var began, violations atomic.Int64
	var mu sync.Mutex
	results := map[string]hostile.ClientResult{}
	statuses := map[int]int{}
	runConnection := func(c *hostile.Client) {
		all := c.RunConnection()
		began.Add(int64(len(all)))
		mu.Lock()
		defer mu.Unlock()
		for _, x := range all {
			statuses[x.Status]++
			if x.Violation != "" {
				if violations.Add(1) <= 10 {
					t.Errorf("%s", x.Violation)
				}
			}
			if !x.Invalid || x.Status != 0 {
				results[x.ID] = x
			}
		}
	}
	runClients := func(from, to int64) {
		var wg sync.WaitGroup
		for i := range hostileClients {
			c := hostile.NewClient(f.frontListener.Addr().String(), "h.example", fmt.Sprintf("c%d.%d", i, from), seed+1000*uint64(from+1)+uint64(i))
			wg.Go(func() {
				for began.Load() < to {
					runConnection(c)
				}
			})
		}
		ended := make(chan struct{})
		go func() { wg.Wait(); close(ended) }()
		for again, n := time.NewTicker(releaseInterval), 1; ; n++ {
			select {
			case <-again.C:
				release(int(from) + n)
			case <-ended:
				again.Stop()
				return
			}
		}
	}
	drained := func() bool {
		f.pool.Sweep(time.Now().Add(time.Hour))
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.router.InFlight() == 0 && f.bodyBudget.Used() == 0
	}
	resourceUsage := func() (int, int, uint64) {
		if !waitUntil(drained) {
			t.Error("requests still in flight or body memory still reserved:", f.bodyBudget.Used())
		}
		debug.FreeOSMemory()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return countDescriptors(), runtime.NumGoroutine(), m.HeapAlloc
	}
	idleFDs := countDescriptors()
	runClients(0, int64(requestCount/4)) // warm-up
	fds, goroutines, heapBefore := resourceUsage()
	waitUntil(func() bool { fds, goroutines, heapBefore = resourceUsage(); return fds <= idleFDs+hostileClients })
	start := time.Now()
	runClients(int64(requestCount/4), int64(requestCount))
	took := time.Since(start)
	var fdsAfter, goroutinesAfter int
	if !waitUntil(func() bool {
		fdsAfter, goroutinesAfter, _ = resourceUsage()
		return fdsAfter <= max(fds, idleFDs+8) && goroutinesAfter <= goroutines+8
	}) {
		t.Errorf("descriptors %d, before %d (idle %d); goroutines %d, before %d", fdsAfter, fds, idleFDs, goroutinesAfter, goroutines)
	}

	twice, rejectedExecuted, smuggled := 0, 0, 0
	for id, x := range results {
		executions := recorder.Executions(id)
		switch {
		case x.Invalid && executions > 0:
			smuggled++
			t.Errorf("%s was executed %d times", id, executions)
		case x.Invalid:
		case !x.Safe && executions > 1:
			twice++
			t.Errorf("%s was executed %d times", id, executions)
		case executions > 0 && slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, x.Status):
			rejectedExecuted++
			t.Errorf("%s was answered %d and executed", id, x.Status)
		}
	}
	counts := f.counters.String()
	behaviours := recorder.Behaviours()
	identities := len(results)
	results = nil
	recorder.Reset()
	_, _, heap := resourceUsage()
	if heap > heapBefore+8<<20 {
		t.Errorf("%d KiB on the heap, before %d", heap>>10, heapBefore>>10)
	}
	t.Logf("%d requests in %v; %d wrong responses, %d unsafe requests executed twice, %d rejected requests executed, %d smuggled requests executed; descriptors %d (before %d), goroutines %d (before %d), heap %d KiB (before %d); %d identities",
		began.Load(), took, violations.Load(), twice, rejectedExecuted, smuggled, fdsAfter, fds, goroutinesAfter, goroutines, heap>>10, heapBefore>>10, identities)
	t.Logf("statuses: %v", statuses)
	t.Logf("%d behaviours of replicas: %v", len(behaviours), behaviours)
	t.Logf("counts: %s", counts)
	if requestCount <= hostileRequests && statuses[200] < requestCount/4 {
		t.Errorf("only %d of %d requests were served, which is too few for the other checks", statuses[200], requestCount)
	}
}
