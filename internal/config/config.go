// Package config reads, checks and gives defaults to all that a governor is told: the environment, the file that
// LB_CONFIG names, and the settings object in it.
package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"strconv"
	"time"

	"zincloft.example/zincloft/rules"
)

// Config is what one governor is told at its start.
type Config struct {
	Name      string
	Listen    string // where proxies and collectors connect
	Discovery string // host and port
	Seed      uint64
	Known     json.RawMessage // the list as last held, in discovery's form
	Limits    Limits
	Settings  Settings
	Bounds    Bounds
	Operator  Operator
}

// Limits are those of the machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Bounds are the limits that the network code sets itself. None of them steers a decision.
type Bounds struct {
	QueueLength          int           // reports that may wait for the next Step, and as many other events
	MaxConnections       int           // at the governor's address
	MaxFirstMessageBytes int           // of a message before its connection has joined
	MaxMessageBytes      int           // of any later message
	MaxMessageElements   int           // of a message
	MaxReportedTime      time.Duration // the longest time that a message may speak of
	JoinTimeout          time.Duration // a connection joins within this time of being accepted
	MinEvictionAge       time.Duration // one that has not joined makes room for another no sooner than this
	AcknowledgeTimeout   time.Duration // a proxy that owes an answer says something within this time
	MaxCollectorsPerZone int           // connections of collectors for a zone
	CollectorIdleTimeout time.Duration // a collector that has passed nothing on for so long may make room for another
	MaxUnsentBytes       int           // bytes that may wait for a peer to read
	MaxTotalUnsentBytes  int64         // bytes that may wait for all peers together
	WriteTimeout         time.Duration // a write makes its way within this time
	AcceptRetryDelay     time.Duration // after a connection could not be accepted
	CountLogInterval     time.Duration // lines of counts are so far apart
	LateTimerThreshold   time.Duration // a timer later than this tells that the process was held up
	DiscoveryWait        time.Duration // a watch waits so long for a change
	DiscoveryCallMargin  time.Duration // a call takes so much longer than its wait
	MaxDiscoveryBytes    int64         // of an answer of discovery
}

const (
	channelSlowdown      = 12 // a channel may be so many times slower than usual and still bring answers
	collectorIdlePeriods = 5  // a zone's sums come every period, up to two periods late
	reportedPeriods      = 60 // sums of what is rarely tried cover some periods; after a cut of the path, more
	reservedDescriptors  = 7  // the poller's two, the listener, two calls, a file, a connection that waits for room
)

// openDescriptors are those open at the start: the runtime and whoever started us have some of their own.
func openDescriptors() int {
	const usual = 5 // the standard streams and the runtime's two
	open, err := os.ReadDir("/proc/self/fd")
	if err != nil { // not every system tells
		return usual
	}
	return len(open)
}

func deriveBounds(limits Limits, settings rules.Settings, open int) Bounds {
	slowestAnswer := channelSlowdown * settings.EntryCapacity / settings.EntryRate * float64(time.Second)
	memory := limits.MemoryMB << 20
	return Bounds{
		QueueLength: 4096, MaxConnections: max(limits.Sockets-open-reservedDescriptors, 1),
		MaxFirstMessageBytes: 4 << 10, MaxMessageBytes: int(min(1<<20, memory/256)), MaxMessageElements: 64,
		MaxReportedTime: reportedPeriods * settings.Period, JoinTimeout: 1500 * time.Millisecond, MinEvictionAge: 20 * time.Millisecond,
		AcknowledgeTimeout: time.Duration(slowestAnswer) + settings.MaxMessageDelay, MaxCollectorsPerZone: 4, CollectorIdleTimeout: collectorIdlePeriods * settings.Period,
		MaxUnsentBytes: int(min(1<<20, memory/64)), MaxTotalUnsentBytes: memory / 8, WriteTimeout: 10 * time.Second,
		AcceptRetryDelay: 50 * time.Millisecond, CountLogInterval: 10 * time.Second, LateTimerThreshold: 50 * time.Millisecond,
		DiscoveryWait: min(max(settings.ListRequestDeadline/2, time.Second), time.Minute), DiscoveryCallMargin: 1500 * time.Millisecond,
		MaxDiscoveryBytes: min(16<<20, memory/8),
	}
}

// defaultLimits hold where the file names none.
var defaultLimits = Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}

type configFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// Load reads the environment, the file that LB_CONFIG names and the operator file, at the start. What the environment
// says of name and addresses goes before the file. operator names the operator file, before ZINCLOFT_OPERATOR does.
func Load(getenv func(string) string, operator string) (Config, error) {
	return readConfig(getenv, operator, false)
}

// Reload reads the file again while a governor runs on what now holds. The file goes before the environment, which
// is as old as the process. Only discovery can change: a new name or listen address is a fault, and the rest is
// left as it is until the next start, named in later where it differs.
func Reload(getenv func(string) string, now Config) (c Config, later []string, err error) {
	c, err = readConfig(getenv, now.Operator.Path, true)
	switch {
	case err != nil:
		return now, nil, err
	case c.Name != now.Name:
		return now, nil, fmt.Errorf("name: %q can't become %q while the governor runs", now.Name, c.Name)
	case c.Listen != now.Listen:
		return now, nil, fmt.Errorf("listen: %s can't become %s while the governor runs", now.Listen, c.Listen)
	}
	if c.Limits != now.Limits {
		later = append(later, "limits")
	}
	if !reflect.DeepEqual(c.Settings, now.Settings) {
		later = append(later, "settings")
	}
	if !reflect.DeepEqual(c.Operator, now.Operator) {
		later = append(later, "operator")
	}
	now.Discovery = c.Discovery
	return now, later, nil
}

// OperatorPath is the operator file's: the one that is named, or the environment's; "" where there is none.
func OperatorPath(getenv func(string) string, named string) string {
	return cmp.Or(named, getenv("ZINCLOFT_OPERATOR"))
}

func readConfig(getenv func(string) string, operator string, fileFirst bool) (Config, error) {
	path := getenv("LB_CONFIG")
	if path == "" {
		return Config{}, errors.New("LB_CONFIG is not set: it names the configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("LB_CONFIG: %w", err)
	}
	f := configFile{Limits: defaultLimits}
	if err := json.Unmarshal(text, &f); err != nil {
		return Config{}, fmt.Errorf("LB_CONFIG: %s is not the expected JSON: %w", path, err)
	}
	c := Config{Known: f.Known, Limits: f.Limits}
	for _, k := range []struct {
		env, key, inFile string
		to               *string
		address          bool
	}{
		{"LB_NAME", "name", f.Name, &c.Name, false},
		{"LB_LISTEN", "listen", f.Listen, &c.Listen, true},
		{"LB_DISCOVERY", "discovery", f.Discovery, &c.Discovery, true},
	} {
		if *k.to = cmp.Or(getenv(k.env), k.inFile); fileFirst {
			*k.to = cmp.Or(k.inFile, *k.to)
		}
		if *k.to == "" {
			return Config{}, fmt.Errorf("%s is not set, and %s lacks %s", k.env, path, k.key)
		}
		if _, _, err := net.SplitHostPort(*k.to); k.address && err != nil {
			return Config{}, fmt.Errorf("%s (%s): %w", k.env, k.key, err)
		}
	}
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return Config{}, fmt.Errorf("seed: want up to 16 hex digits, got %q", f.Seed)
	}
	switch l := f.Limits; {
	case !(l.Cores > 0):
		return Config{}, fmt.Errorf("limits.cores: want a figure above 0, got %v", l.Cores)
	case l.MemoryMB <= 0:
		return Config{}, fmt.Errorf("limits.memory_mb: want a figure above 0, got %d", l.MemoryMB)
	case l.Sockets <= 0:
		return Config{}, fmt.Errorf("limits.sockets: want a figure above 0, got %d", l.Sockets)
	}
	if len(f.Settings) == 0 {
		return Config{}, errors.New("settings: the key is missing")
	}
	if c.Settings, err = ReadSettings(f.Settings); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	if c.Operator, err = ReadOperator(OperatorPath(getenv, operator)); err != nil {
		return Config{}, err
	}
	c.Bounds = deriveBounds(c.Limits, c.Settings.Settings, openDescriptors())
	return c, nil
}
