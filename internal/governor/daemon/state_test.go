package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"zincloft.example/zincloft/internal/governor/config"
	"zincloft.example/zincloft/internal/governor/discoveryclient"
	"zincloft.example/zincloft/internal/governor/store"
	"zincloft.example/zincloft/internal/testbeds/testkit"
	"zincloft.example/zincloft/recovery"
	"zincloft.example/zincloft/rules"
)

// stateConfig returns a configuration without a cached list and with an unreachable discovery.
func stateConfig(dir string) config.Config {
	c := testConfig()
	c.CachedList = nil
	c.Operator.State = config.StateOptions{Dir: dir, SyncInterval: time.Second, HalfLife: 10 * time.Minute, MaxAge: 24 * time.Hour}
	return c
}

// runGovernor runs a governor for three seconds with one proxy that joins, and returns its log and what the proxy received.
func runGovernor(t *testing.T, c config.Config) (log, received string) {
	var lines strings.Builder
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		l, d := testkit.Listen(), New(c, testkit.Logger(&lines))
		done := make(chan error)
		go func() { done <- d.Run(ctx, func() (net.Listener, error) { return l, nil }, nil, nil) }()
		p, err := l.Dial(ctx, "", "")
		if err != nil {
			t.Fatal(err)
		}
		message := make(chan string, 1)
		go func() {
			_, _ = p.Write([]byte("*9\r\n$6\r\nattach\r\n$7\r\nsidecar\r\n$1\r\n0\r\n$2\r\naz\r\n$1\r\na\r\n$5\r\nshare\r\n$1\r\n2\r\n$8\r\nstanding\r\n$1\r\n1\r\n"))
			b := make([]byte, 1<<12)
			n, _ := p.Read(b) // fails if the connection is closed without a message
			message <- string(b[:n])
		}()
		time.Sleep(3 * time.Second) // fake clock
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
		received = <-message
	})
	return lines.String(), received
}

// TestStartFromDisk starts without discovery: a proxy that joins gets weights only if the governor's own state is on disk.
// With any other state, or an unusable file, the governor serves and logs the reason once.
func TestStartFromDisk(t *testing.T) {
	writeState := func(governor string) string {
		dir := t.TempDir()
		s, _, _, err := store.Open(dir, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		at := rules.Time(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC).UnixNano()) - rules.Time(time.Minute) // where the fake clock starts
		if _, err := s.Write(recovery.State{Governor: governor, Discovery: "127.0.0.1:0", Version: 3, ConfirmedAt: at, WrittenAt: at, NextReplicaID: 9, Replicas: []recovery.Replica{
			{Name: "r7", Entry: rules.Entry{Replica: 7, State: rules.Ready, Listed: 1}}, {Name: "r8", Entry: rules.Entry{Replica: 8, State: rules.Ready, Listed: 1}}}}); err != nil {
			t.Fatal(err)
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		return dir
	}
	damaged := writeState("n0")
	if err := os.WriteFile(store.Path(damaged), []byte("overwritten"), 0o600); err != nil {
		t.Fatal(err)
	}
	locked := writeState("n0")
	s, _, _, err := store.Open(locked, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer testkit.Close(t, s)
	for _, c := range []struct {
		name, dir, log string
		weights        bool
	}{
		{"own state", writeState("n0"), `"verdict":"used"`, true},
		{"another governor's state", writeState("n5"), `"verdict":"of another governor or discovery"`, false},
		{"no state", t.TempDir(), `"verdict":"nothing is kept"`, false},
		{"damaged file", damaged, "set aside as", false},
		{"locked file", locked, "another process has it open", false},
	} {
		log, received := runGovernor(t, stateConfig(c.dir))
		if strings.Count(log, c.log) != 1 || !strings.Contains(log, `"phase":"serving"`) {
			t.Errorf("%s: log %s", c.name, log)
		}
		if got := strings.Contains(received, "r7:50,r8:50"); got != c.weights {
			t.Errorf("%s: the proxy received %q", c.name, received)
		}
	}
}

// TestSaveState checks that the list is saved after discovery has answered.
func TestSaveState(t *testing.T) {
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("index") == "4" {
			<-r.Context().Done()
			return
		}
		_, _ = w.Write([]byte(`{"version":4,"full":true,"servers":[{"id":"r5","zone":"a","state":"ready","weight":2.5}]}`)) // on an error the caller fails
	}))
	defer discovery.Close()
	dir, copied := t.TempDir(), t.TempDir()
	c := stateConfig(dir)
	c.Discovery, c.Operator.State.SyncInterval = strings.TrimPrefix(discovery.URL, "http://"), 100*time.Millisecond
	c.Settings.ListOnRequest, c.Settings.ListRequestDeadline = true, 10*time.Second
	c.Bounds.DiscoveryWait, c.Bounds.DiscoveryCallMargin, c.Bounds.MaxDiscoveryBytes = time.Second, time.Second, 1<<20
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
	defer stop()
	done := make(chan error)
	go func() {
		done <- New(c, zerolog.Nop()).Run(ctx, func() (net.Listener, error) { return testkit.Listen(), nil }, nil, nil)
	}()
	var saved recovery.State
	for ; ctx.Err() == nil && saved.Version != 4; time.Sleep(20 * time.Millisecond) { // a file that is open can be read only as a copy
		if b, err := os.ReadFile(store.Path(dir)); err == nil && os.WriteFile(store.Path(copied), b, 0o600) == nil {
			saved, _ = store.Read(copied) // may fail: the copy may be torn
		}
	}
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
	saved, err := store.Read(dir)
	if err != nil || len(saved.Replicas) != 1 || saved.Replicas[0].Name != "r5" || saved.Replicas[0].Entry.Listed != 2.5 || saved.Discovery != c.Discovery || saved.ConfirmedAt == 0 {
		t.Errorf("%+v, %v", saved, err)
	}
}

// BenchmarkCollectState measures the time that collecting the state of 10,000 replicas takes in the event loop.
func BenchmarkCollectState(b *testing.B) {
	c := stateConfig(b.TempDir())
	d := New(c, zerolog.Nop())
	d.startedAt = time.Now()
	d.discovery = discoveryclient.New(b.Context(), c, zerolog.Nop(), func(rules.List) {})
	d.entries = map[rules.ReplicaID]rules.Entry{}
	saved := recovery.State{NextReplicaID: 10_000}
	var list rules.List
	for i := range 10_000 {
		e := rules.Entry{Replica: rules.ReplicaID(i), State: rules.Ready, Listed: 1}
		list.Entries = append(list.Entries, e)
		d.entries[e.Replica] = e
		saved.Replicas = append(saved.Replicas, recovery.Replica{Name: fmt.Sprint("s", i), Entry: e})
	}
	d.discovery.Restore(saved)
	d.governor.Step(0, []rules.Event{rules.Start{Settings: c.Settings.Settings}, list})
	for r := range 10_000 {
		d.governor.Step(1, []rules.Event{rules.PriorMeasurement{Replica: rules.ReplicaID(r), Speed: 1.5, Throughput: 3, Trust: 1}})
	}
	b.ReportAllocs()
	for b.Loop() {
		if k := d.collectState(1, time.Now()); len(k.Replicas) != 10_000 || k.Replicas[7].Learned.Speed == 0 {
			b.Fatal(len(k.Replicas))
		}
	}
}
