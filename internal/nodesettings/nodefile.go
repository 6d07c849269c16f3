// Package nodesettings reads and checks the settings file that tells a process of the gateway who and where it is.
//
// The file is YAML. It is turned into JSON by a library and then read by gjson paths; each message names the path
// at fault. Fields that are not known are skipped.
package nodesettings

import (
	"math"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml"
	"github.com/tidwall/gjson"
)

// PathVariable is the environment variable that holds the settings file's path.
const PathVariable = "ZINCLOFT_NODE_FILE"

// Bounds are the figures of the rules that decisions here lean on.
type Bounds struct {
	AddressReuseDelay  time.Duration // after a replica's end, its address may be another's
	AckDeadline        time.Duration // an operator's order wants its acknowledgement
	DrainDeadline      time.Duration // sending to a leaving replica ends within this of its acknowledgement
	GracePeriod        time.Duration // between SIGTERM and SIGKILL
	ConfigDeadline     time.Duration // a configuration is in force everywhere
	EvacuationDeadline time.Duration // a zone gets nothing more
	CatchUpTime        time.Duration // a machine that came back counts as lost for so long
	RetryBudgetRatio   float64       // further tries for each request
	RetryBudgetWindow  time.Duration
	RetryBudgetSlack   float64 // further tries beyond the ratio, in a window, over all governors
	WarmupOverage      float64 // times cold_per_s that a cold replica may be sent in a second
	WarmupSlack        float64 // requests beyond that
}

// FaultTolerance are counts of what may be lost: counted machines, or zones, or regions.
type FaultTolerance struct{ Machines, Zones, Regions int }

// Settings are what one process is told.
type Settings struct {
	Name, Role, MachineClass            string
	Serves                              []string
	IP                                  netip.Addr
	Zone, Region                        string
	Counted                             bool
	FirstStart                          bool
	DataDir                             string // empty: no disk
	MemoryMB                            int64
	FileDescriptors                     int64
	LinkMbps                            float64
	CPUCores                            float64 // of the processor, this process's part
	FrontAddress, ReadinessAddress      string  // empty where the role serves no clients
	ControlAddress                      string  // empty where it serves no replicas and operators
	FirstInternalPort, LastInternalPort int
	Seeds                               []netip.AddrPort
	ZoneRegions                         map[string]string // zone to region
	HeartbeatInterval                   time.Duration     // a replica's beats are so far apart
	FaultTolerance                      FaultTolerance    // that may come at once with all rules kept
	ActiveContracts                     []string          // the parts of the rules that are in force
	Bounds                              Bounds
}

// SeedPeerAddresses lists where the seeds talk to other governors: at their addresses, on the first internal port.
func (s *Settings) SeedPeerAddresses() (all []string) {
	for _, seed := range s.Seeds {
		all = append(all, netip.AddrPortFrom(seed.Addr(), uint16(s.FirstInternalPort)).String())
	}
	return all
}

type reader struct {
	doc gjson.Result
	err error
}

func (r *reader) fail(path, why string) {
	if r.err == nil {
		r.err = merry.Errorf("settings: %s: %s", path, why)
	}
}

func (r *reader) text(path string, needed bool) string {
	v := r.doc.Get(path)
	if v.Type == gjson.String && v.Str != "" {
		return v.Str
	}
	if v.Exists() && v.Type != gjson.Null && v.Type != gjson.String {
		r.fail(path, "is not a text")
	} else if needed {
		r.fail(path, "is missing or empty")
	}
	return ""
}

func (r *reader) number(path string, least, def float64) float64 {
	v := r.doc.Get(path)
	switch {
	case !v.Exists() || v.Type == gjson.Null:
		return def
	case v.Type != gjson.Number:
		r.fail(path, "is not a number")
	case v.Num < least:
		r.fail(path, "is too small")
	}
	return v.Num
}

// whole reads a count.
func (r *reader) whole(path string, def int) int {
	x := r.number(path, 0, float64(def))
	if x != math.Trunc(x) {
		r.fail(path, "is not a whole number")
	}
	return int(x)
}

// truth reads true or false; what is missing is false.
func (r *reader) truth(path string) bool {
	v := r.doc.Get(path)
	if v.Exists() && v.Type != gjson.Null && !v.IsBool() {
		r.fail(path, "is neither true nor false")
	}
	return v.Type == gjson.True
}

// texts reads a list of them.
func (r *reader) texts(path string) (all []string) {
	v := r.doc.Get(path)
	if v.Exists() && v.Type != gjson.Null && !v.IsArray() {
		r.fail(path, "is not a list")
		return nil
	}
	for i, x := range v.Array() {
		if x.Type != gjson.String || x.Str == "" {
			r.fail(path+"."+strconv.Itoa(i), "is empty or not a text")
		}
		all = append(all, x.Str)
	}
	return all
}

// span reads a time above nothing; spanFrom one from a least one on.
func (r *reader) span(path string, def time.Duration) time.Duration {
	return r.spanFrom(path, time.Nanosecond, def)
}

func (r *reader) spanFrom(path string, least, def time.Duration) time.Duration {
	s := r.text(path, false)
	if s == "" {
		return def
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < least {
		r.fail(path, `is not a time such as "1500ms"`)
	}
	return d
}

func (r *reader) address(path string) string {
	s := r.text(path, false)
	if s == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(s); err != nil {
		r.fail(path, "is not an address with a port")
	}
	return s
}

// Load reads the file that Variable names.
func Load() (*Settings, error) {
	path := os.Getenv(PathVariable)
	if path == "" {
		return nil, merry.Errorf("settings: %s is not set", PathVariable)
	}
	FileChanged() // from here on
	return Read(path)
}

var seen struct {
	sync.Mutex
	size int64
	at   time.Time
}

// FileChanged tells whether the file that Variable names is another one than when it was last asked for or loaded.
func FileChanged() bool {
	info, err := os.Stat(os.Getenv(PathVariable))
	if err != nil {
		return false
	}
	seen.Lock()
	defer seen.Unlock()
	changed := info.Size() != seen.size || !info.ModTime().Equal(seen.at)
	seen.size, seen.at = info.Size(), info.ModTime()
	return changed
}

// Read reads a settings file.
func Read(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Prepend(err, "settings")
	}
	s, err := Parse(raw)
	if err != nil {
		return nil, merry.Prepend(err, path)
	}
	return s, nil
}

// Parse reads settings and names the first path at fault.
func Parse(raw []byte) (*Settings, error) {
	doc, err := yaml.YAMLToJSON(raw)
	if err != nil {
		return nil, merry.Errorf("settings: not YAML: %v", err)
	}
	r := &reader{doc: gjson.ParseBytes(doc)}
	if !r.doc.IsObject() {
		return nil, merry.New("settings: the file holds no tables")
	}
	self, net, rule := "self_settings.", "network_settings.", "rule_terms."
	s := &Settings{
		Name: r.text(self+"node_name", true), Role: r.text(self+"role", false), MachineClass: r.text(self+"machine_class", false),
		Zone: r.text(self+"zone", true), Region: r.text(self+"region", false),
		Counted: r.truth(self + "counted"), FirstStart: r.truth(self + "first_start"),
		DataDir:         r.text(self+"data_directory", false),
		MemoryMB:        int64(r.number(self+"limits.memory_mb", 16, 256)),
		FileDescriptors: int64(r.number(self+"limits.file_descriptors", 64, 1024)),
		LinkMbps:        r.number(self+"limits.link_mbps", 0.01, 100),
		CPUCores:        r.number(self+"limits.cpu_share", 0.001, 1) * r.number(self+"limits.cpu_cores", 0.001, 1),
		FrontAddress:    r.address(net + "listen_addresses.front"), ReadinessAddress: r.address(net + "listen_addresses.readiness"),
		ControlAddress:    r.address(net + "listen_addresses.control"),
		HeartbeatInterval: r.span("platform_settings.heartbeat_interval", 1500*time.Millisecond),
		FaultTolerance:    FaultTolerance{r.whole(rule+"fault_tolerance.machines", 1), r.whole(rule+"fault_tolerance.zones", 0), r.whole(rule+"fault_tolerance.regions", 0)},
		ActiveContracts:   r.texts(rule + "active_contracts"),
		Serves:            r.texts(self + "serves"),
		ZoneRegions:       map[string]string{},
	}
	ip, err := netip.ParseAddr(r.text(self+"ip_address", true))
	if err != nil {
		r.fail(self+"ip_address", "is not an IP address")
	}
	s.IP = ip
	ports := r.doc.Get(net + "internal_port_range").Array()
	if len(ports) != 2 || ports[0].Int() < 1 || ports[1].Int() > 65535 || ports[1].Int()-ports[0].Int() < 1 {
		r.fail(net+"internal_port_range", "is not a first and a last port, two at least")
	} else {
		s.FirstInternalPort, s.LastInternalPort = int(ports[0].Int()), int(ports[1].Int())
	}
	for i, v := range r.doc.Get(net + "seed_nodes").Array() {
		a, err := netip.ParseAddrPort(v.String())
		if err != nil {
			r.fail(net+"seed_nodes."+strconv.Itoa(i), "is not an address with a port")
			continue
		}
		s.Seeds = append(s.Seeds, a)
	}
	if len(s.Seeds) == 0 {
		r.fail(net+"seed_nodes", "names nobody")
	}
	for zone, region := range r.doc.Get(net + "zones").Map() {
		s.ZoneRegions[zone] = region.String()
	}
	b := rule + "bounds."
	s.Bounds = Bounds{
		AddressReuseDelay: r.spanFrom(b+"address_reuse", 0, 2*time.Second), AckDeadline: r.span(b+"ack_deadline", 5*time.Second),
		DrainDeadline: r.span(b+"drain_deadline", 2*time.Second), GracePeriod: r.span(b+"grace_period", 6*time.Second),
		ConfigDeadline: r.span(b+"config_deadline", 2*time.Second), EvacuationDeadline: r.span(b+"evacuation", 5*time.Second),
		CatchUpTime: r.span(b+"catch_up", 4*time.Second), RetryBudgetRatio: r.number(b+"retry_budget_ratio", 0, 0.2),
		RetryBudgetWindow: r.span(b+"budget_window", 10*time.Second), RetryBudgetSlack: r.number(b+"retry_budget_slack", 0, 10),
		WarmupOverage: r.number(b+"cold_overage", 1, 1.5), WarmupSlack: r.number(b+"cold_slack", 0, 5),
	}
	if r.err != nil {
		return nil, r.err
	}
	return s, nil
}
