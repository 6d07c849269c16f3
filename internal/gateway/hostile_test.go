package gateway

import (
	"fmt"
	"net"
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

	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/internal/nodesettings"
	"zincloft.example/zincloft/internal/program"
	"zincloft.example/zincloft/internal/standin/hostile"
	"zincloft.example/zincloft/messages"
)

const (
	hostileRate    = 0.1
	hostileFew     = 4000 // requests, where ZINCLOFT_HOSTILE names no number
	hostileClients = 48
	releaseEvery   = 500 * time.Millisecond
)

const hostileConfiguration = `{"version":"00000001","services":[{"name":"svc","cold_per_s":4}],"limits":{"max_body_bytes":1000000,"max_header_bytes":16384,"header_timeout":"2s","idle_timeout":"5s"},
"virtual_hosts":[{"hostname":"h.example","path_routes":[
{"name":"s","path_prefix":"/s/","kind":"safe","timeout":"2s","target_latency":"100ms","max_attempts":3,"service":"svc"},
{"name":"u","path_prefix":"/u/","kind":"unsafe","timeout":"2s","target_latency":"100ms","max_attempts":3,"service":"svc"}]}]}`

func descriptors() int {
	names, _ := os.ReadDir("/proc/self/fd")
	return len(names)
}

// until waits for a state that comes by itself; it ends after ten seconds at the latest.
func until(ok func() bool) bool {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); runtime.Gosched() {
		if ok() {
			return true
		}
	}
	return ok()
}

// TestHostile has hostile clients and hostile replicas on both sides of a forager. No answer may go to another caller, no
// unsafe request run twice, nothing run that was promised not to, nor anything hidden in what is no request; memory,
// goroutines and descriptors are back at their level after. ZINCLOFT_HOSTILE is the number of requests, ZINCLOFT_SEED
// the seed.
func TestHostile(t *testing.T) {
	most := hostileFew
	if n, err := strconv.Atoi(os.Getenv("ZINCLOFT_HOSTILE")); err == nil {
		most = n
	}
	seed, _ := strconv.ParseUint(os.Getenv("ZINCLOFT_SEED"), 10, 64)
	set, err := nodesettings.Parse([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	set.FileDescriptors, set.MemoryMB = 2000, 256
	log := &logBuffer{}
	f, err := New(set, program.NewLogger(log, "forager"))
	if err != nil {
		t.Fatal(err)
	}
	if f.frontListener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	book := hostile.NewLedger()
	var replicas []*hostile.Replica
	var addrs []string
	for i := range 24 {
		up := startReplica(t, fmt.Sprint(i))
		r := hostile.New("", seed+uint64(i), hostileRate, book)
		up.SetConnectionHandler(r.Serve)
		replicas, addrs = append(replicas, r), append(addrs, up.Addr())
	}
	// release replaces all replicas by others, at the same addresses: their bad name goes with them.
	release := func(n int) {
		st := &messages.StateUpdate{Full: true, Sequence: 1, ConfigVersion: 1, Config: []byte(hostileConfiguration)}
		for i, r := range replicas {
			id := fmt.Sprintf("i%d.%d", i, n)
			r.SetID(id)
			st.Instances = append(st.Instances, registry.Instance{ID: id, Service: "svc", Addr: addrs[i], Zone: "a", Slots: 64})
		}
		f.applyUpdate(st)
	}
	release(0)
	defer f.server.Close()

	var began, wrongs atomic.Int64
	var mu sync.Mutex
	told := map[string]hostile.ClientResult{}
	statuses := map[int]int{}
	round := func(c *hostile.Client) {
		all := c.RunConnection()
		began.Add(int64(len(all)))
		mu.Lock()
		defer mu.Unlock()
		for _, x := range all {
			statuses[x.Status]++
			if x.Violation != "" {
				if wrongs.Add(1) <= 10 {
					t.Errorf("%s", x.Violation)
				}
			}
			if !x.Invalid || x.Status != 0 {
				told[x.ID] = x
			}
		}
	}
	work := func(from, to int64) {
		var wg sync.WaitGroup
		for i := range hostileClients {
			c := hostile.NewClient(f.frontListener.Addr().String(), "h.example", fmt.Sprintf("c%d.%d", i, from), seed+1000*uint64(from+1)+uint64(i))
			wg.Go(func() {
				for began.Load() < to {
					round(c)
				}
			})
		}
		ended := make(chan struct{})
		go func() { wg.Wait(); close(ended) }()
		for again, n := time.NewTicker(releaseEvery), 1; ; n++ {
			select {
			case <-again.C:
				release(int(from) + n)
			case <-ended:
				again.Stop()
				return
			}
		}
	}
	quiet := func() bool {
		f.pool.Sweep(time.Now().Add(time.Hour))
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.router.InFlight() == 0 && f.bodyMemory.used.Load() == 0
	}
	level := func() (int, int, uint64) {
		if !until(quiet) {
			t.Error("requests are still under way, or bytes of bodies still counted:", f.bodyMemory.used.Load())
		}
		debug.FreeOSMemory()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return descriptors(), runtime.NumGoroutine(), m.HeapAlloc
	}
	bare := descriptors()
	work(0, int64(most/4)) // warm
	fds, routines, heapBefore := level()
	until(func() bool { fds, routines, heapBefore = level(); return fds <= bare+hostileClients })
	start := time.Now()
	work(int64(most/4), int64(most))
	took := time.Since(start)
	var fdsAfter, routinesAfter int
	if !until(func() bool {
		fdsAfter, routinesAfter, _ = level()
		return fdsAfter <= max(fds, bare+8) && routinesAfter <= routines+8
	}) {
		t.Errorf("descriptors %d, before %d (bare %d); goroutines %d, before %d", fdsAfter, fds, bare, routinesAfter, routines)
	}

	twice, broken, hidden := 0, 0, 0
	for id, x := range told {
		ran := book.Executions(id)
		switch {
		case x.Invalid && ran > 0:
			hidden++
			t.Errorf("%s ran %d times", id, ran)
		case x.Invalid:
		case !x.Safe && ran > 1:
			twice++
			t.Errorf("%s ran %d times", id, ran)
		case ran > 0 && slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, x.Status):
			broken++
			t.Errorf("%s was told %d and ran", id, x.Status)
		}
	}
	f.mu.Lock()
	counts := fmt.Sprint(f.counters)
	f.mu.Unlock()
	acts := book.Behaviours()
	asked := len(told)
	told = nil
	book.Reset()
	_, _, heap := level()
	if heap > heapBefore+8<<20 {
		t.Errorf("%d KiB on the heap, before %d", heap>>10, heapBefore>>10)
	}
	t.Logf("%d requests in %v; %d to another caller or wrong, %d unsafe ones twice, %d promises broken, %d hidden ones ran; descriptors %d (before %d), goroutines %d (before %d), heap %d KiB (before %d); %d identities",
		began.Load(), took, wrongs.Load(), twice, broken, hidden, fdsAfter, fds, routinesAfter, routines, heap>>10, heapBefore>>10, asked)
	t.Logf("told: %v", statuses)
	t.Logf("%d acts of replicas: %v", len(acts), acts)
	t.Logf("counts: %s", counts)
	if most <= hostileFew && statuses[200] < most/4 {
		t.Errorf("only %d of %d were served: the rest tells little", statuses[200], most)
	}
}
