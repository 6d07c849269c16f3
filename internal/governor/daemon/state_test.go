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

// stateConf has no list but what is on disk, and a discovery that is away.
func stateConf(dir string) config.Config {
	c := conf()
	c.CachedList = nil
	c.Operator.State = config.StateOptions{Dir: dir, SyncInterval: time.Second, HalfLife: 10 * time.Minute, MaxAge: 24 * time.Hour}
	return c
}

// lived runs a governor for a moment of the bubble, to which a proxy comes, and returns its log and what the proxy was told.
func lived(t *testing.T, c config.Config) (log, told string) {
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
		heard := make(chan string, 1)
		go func() {
			_, _ = p.Write([]byte("*9\r\n$6\r\nattach\r\n$7\r\nsidecar\r\n$1\r\n0\r\n$2\r\naz\r\n$1\r\na\r\n$5\r\nshare\r\n$1\r\n2\r\n$8\r\nstanding\r\n$1\r\n1\r\n"))
			b := make([]byte, 1<<12)
			n, _ := p.Read(b) // closed without a word where there is nothing to tell
			heard <- string(b[:n])
		}()
		time.Sleep(3 * time.Second) // on the bubble's clock
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
		told = <-heard
	})
	return lines.String(), told
}

// TestStartFromDisk starts while discovery is away: with its own list on disk a proxy that joins gets weights; with that of
// another governor, or none, it does not; and whatever is wrong with the disk, the governor serves and logs it once.
func TestStartFromDisk(t *testing.T) {
	keep := func(governor string) string {
		dir := t.TempDir()
		s, _, _, err := store.Open(dir, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		at := rules.Time(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC).UnixNano()) - rules.Time(time.Minute) // a bubble's clock begins there
		if _, err := s.Write(recovery.State{Governor: governor, Discovery: "127.0.0.1:0", Version: 3, ConfirmedAt: at, WrittenAt: at, NextReplicaID: 9, Replicas: []recovery.Replica{
			{Name: "r7", Entry: rules.Entry{Replica: 7, State: rules.Ready, Listed: 1}}, {Name: "r8", Entry: rules.Entry{Replica: 8, State: rules.Ready, Listed: 1}}}}); err != nil {
			t.Fatal(err)
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		return dir
	}
	damaged := keep("n0")
	if err := os.WriteFile(store.Path(damaged), []byte("not what it was"), 0o600); err != nil {
		t.Fatal(err)
	}
	locked := keep("n0")
	s, _, _, err := store.Open(locked, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer testkit.Close(t, s)
	for _, c := range []struct {
		what, dir, log string
		told           bool
	}{
		{"its own", keep("n0"), `"verdict":"used"`, true},
		{"another's", keep("n5"), `"verdict":"of another governor or discovery"`, false},
		{"nothing", t.TempDir(), `"verdict":"nothing is kept"`, false},
		{"a damaged file", damaged, "set aside as", false},
		{"a file that is locked", locked, "another process has it open", false},
	} {
		log, told := lived(t, stateConf(c.dir))
		if strings.Count(log, c.log) != 1 || !strings.Contains(log, `"phase":"serving"`) {
			t.Errorf("%s: log %s", c.what, log)
		}
		if has := strings.Contains(told, "r7:50,r8:50"); has != c.told {
			t.Errorf("%s: the proxy is told %q", c.what, told)
		}
	}
}

// TestSaveState has discovery answer: the current list is saved.
func TestSaveState(t *testing.T) {
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("index") == "4" {
			<-r.Context().Done()
			return
		}
		_, _ = w.Write([]byte(`{"version":4,"full":true,"servers":[{"id":"r5","zone":"a","state":"ready","weight":2.5}]}`)) // else the caller fails
	}))
	defer discovery.Close()
	dir, copied := t.TempDir(), t.TempDir()
	c := stateConf(dir)
	c.Discovery, c.Operator.State.SyncInterval = strings.TrimPrefix(discovery.URL, "http://"), 100*time.Millisecond
	c.Settings.ListOnRequest, c.Settings.ListRequestDeadline = true, 10*time.Second
	c.Bounds.DiscoveryWait, c.Bounds.DiscoveryCallMargin, c.Bounds.MaxDiscoveryBytes = time.Second, time.Second, 1<<20
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
	defer stop()
	done := make(chan error)
	go func() {
		done <- New(c, zerolog.Nop()).Run(ctx, func() (net.Listener, error) { return testkit.Listen(), nil }, nil, nil)
	}()
	var kept recovery.State
	for ; ctx.Err() == nil && kept.Version != 4; time.Sleep(20 * time.Millisecond) { // a file that is open can only be looked at as a copy
		if b, err := os.ReadFile(store.Path(dir)); err == nil && os.WriteFile(store.Path(copied), b, 0o600) == nil {
			kept, _ = store.Read(copied) // torn while it is written
		}
	}
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
	kept, err := store.Read(dir)
	if err != nil || len(kept.Replicas) != 1 || kept.Replicas[0].Name != "r5" || kept.Replicas[0].Entry.Listed != 2.5 || kept.Discovery != c.Discovery || kept.ConfirmedAt == 0 {
		t.Errorf("%+v, %v", kept, err)
	}
}

// BenchmarkStateToSave measures what gathering the state costs the deciding goroutine, with 10,000 replicas.
func BenchmarkStateToSave(b *testing.B) {
	c := stateConf(b.TempDir())
	d := New(c, zerolog.Nop())
	d.startedAt = time.Now()
	d.discovery = discoveryclient.New(b.Context(), c, zerolog.Nop(), func(rules.List) {})
	d.entries = map[rules.ReplicaID]rules.Entry{}
	kept := recovery.State{NextReplicaID: 10_000}
	var l rules.List
	for i := range 10_000 {
		e := rules.Entry{Replica: rules.ReplicaID(i), State: rules.Ready, Listed: 1}
		l.Entries = append(l.Entries, e)
		d.entries[e.Replica] = e
		kept.Replicas = append(kept.Replicas, recovery.Replica{Name: fmt.Sprint("s", i), Entry: e})
	}
	d.discovery.Restore(kept)
	d.governor.Step(0, []rules.Event{rules.Start{Settings: c.Settings.Settings}, l})
	for r := range 10_000 {
		d.governor.Step(1, []rules.Event{rules.PriorMeasurement{Replica: rules.ReplicaID(r), Speed: 1.5, Throughput: 3, Trust: 1}})
	}
	b.ReportAllocs()
	for b.Loop() {
		if k := d.stateToSave(1, time.Now()); len(k.Replicas) != 10_000 || k.Replicas[7].Learned.Speed == 0 {
			b.Fatal(len(k.Replicas))
		}
	}
}
