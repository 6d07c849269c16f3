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
	Inbox        int           // reports that may wait for the next Step, and as many other events
	Connections  int           // at the governor's address
	FirstBytes   int           // of a message before its connection has joined
	MessageBytes int           // of any later message
	Words        int           // of a message
	Span         time.Duration // the longest time that a message may speak of
	FirstWord    time.Duration // a connection joins within this time of being accepted
	Turn         time.Duration // one that has not joined makes room for another no sooner than this
	Silence      time.Duration // a proxy that owes an answer says something within this time
	Collectors   int           // connections of collectors for a zone
	Idle         time.Duration // a collector that has passed nothing on for so long may make room for another
	Unread       int           // bytes that may wait for a peer to read
	UnreadAll    int64         // bytes that may wait for all peers together
	WriteMost    time.Duration // a write makes its way within this time
	AcceptPause  time.Duration // after a connection could not be accepted
	Counts       time.Duration // lines of counts are so far apart
	LateLoop     time.Duration // a timer later than this tells that the process was held up
	ListWait     time.Duration // a watch waits so long for a change
	ListMore     time.Duration // a call takes so much longer than its wait
	ListBytes    int64         // of an answer of discovery
}

const (
	slowChannel = 12 // a channel may be so many times slower than usual and still bring answers
	idlePeriods = 5  // a zone's sums come every period, up to two periods late
	spanPeriods = 60 // sums of what is rarely tried cover some periods; after a cut of the path, more
	toBeOpened  = 7  // the poller's two, the listener, two calls, a file, a connection that waits for room
)

// descriptors are those open at the start: the runtime and whoever started us have some of their own.
func descriptors() int {
	const usual = 5 // the standard streams and the runtime's two
	open, err := os.ReadDir("/proc/self/fd")
	if err != nil { // not every system tells
		return usual
	}
	return len(open)
}

func bounds(l Limits, s rules.Settings, open int) Bounds {
	slow := slowChannel * s.LineCap / s.LinePace * float64(time.Second)
	memory := l.MemoryMB << 20
	return Bounds{
		Inbox: 4096, Connections: max(l.Sockets-open-toBeOpened, 1),
		FirstBytes: 4 << 10, MessageBytes: int(min(1<<20, memory/256)), Words: 64,
		Span: spanPeriods * s.Period, FirstWord: 1500 * time.Millisecond, Turn: 20 * time.Millisecond,
		Silence: time.Duration(slow) + s.TravelMost, Collectors: 4, Idle: idlePeriods * s.Period,
		Unread: int(min(1<<20, memory/64)), UnreadAll: memory / 8, WriteMost: 10 * time.Second,
		AcceptPause: 50 * time.Millisecond, Counts: 10 * time.Second, LateLoop: 50 * time.Millisecond,
		ListWait: min(max(s.AskWithin/2, time.Second), time.Minute), ListMore: 1500 * time.Millisecond,
		ListBytes: min(16<<20, memory/8),
	}
}

// usualLimits hold where the file names none.
var usualLimits = Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}

type file struct {
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
	return read(getenv, operator, false)
}

// Reload reads the file again while a governor runs on what now holds. The file goes before the environment, which
// is as old as the process. Only discovery can change: a new name or listen address is a fault, and the rest is
// left as it is until the next start, named in later where it differs.
func Reload(getenv func(string) string, now Config) (c Config, later []string, err error) {
	c, err = read(getenv, now.Operator.Path, true)
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

func read(getenv func(string) string, operator string, fileFirst bool) (Config, error) {
	path := getenv("LB_CONFIG")
	if path == "" {
		return Config{}, errors.New("LB_CONFIG is not set: it names the configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("LB_CONFIG: %w", err)
	}
	f := file{Limits: usualLimits}
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
	c.Bounds = bounds(c.Limits, c.Settings.Settings, descriptors())
	return c, nil
}
