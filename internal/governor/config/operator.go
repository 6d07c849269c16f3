package config

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"zincloft.example/zincloft/internal/governor/collectd"
)

// Operator holds the options of the operator file, which enable features beyond the platform's protocol. All are off by
// default.
type Operator struct {
	Path     string // "": no operator file
	Intake   IntakeOptions
	Graphite GraphiteOptions
	Collectd CollectdOptions
	State    StateOptions
}

// IntakeOptions are the section [intake].
type IntakeOptions struct {
	ReportsMode          ReportsMode
	RecordsPerSecond     int           // 0: derived from the limits
	HalfLife             time.Duration // age at which a record has half its weight
	MaxAge               time.Duration // older records are ignored
	MaxPairs             int           // maximum number of failing proxy-replica pairs tracked; 0: derived from the limits
	StreamBytesPerSecond int           // rate limit for reading from a stream; 0: the default
}

// ReportsMode selects the use of batches of single proxies.
type ReportsMode string

// Modes of using batches.
const (
	ReportsOff   ReportsMode = "off"   // rejected as messages of an unknown kind
	ReportsPairs ReportsMode = "pairs" // to find failing pairs; fleet statistics come from collectors
	ReportsSums  ReportsMode = "sums"  // for fleet statistics too, instead of those from collectors
)

// Enabled reports whether batches of single proxies are accepted.
func (o IntakeOptions) Enabled() bool {
	return o.ReportsMode == ReportsPairs || o.ReportsMode == ReportsSums
}

// GraphiteOptions are the section [graphite].
type GraphiteOptions struct {
	Address         string // "": disabled
	Prefix          string // of each path
	Interval        time.Duration
	MaxQueuedPoints int // 0: derived from the limits
}

// CollectdOptions are the section [collectd].
type CollectdOptions struct {
	Listen           string // "": disabled
	AllowedSources   []netip.Prefix
	Security         collectd.SecurityLevel
	UsersFile        string // users and their passwords; "": no users
	PacketsPerSecond int
	ReplicaByHost    map[string]string // replica names of hosts whose names differ
	Mappings         []collectd.Mapping
}

// StateOptions are the section [state].
type StateOptions struct {
	Dir          string        // "": state is not persisted
	SyncInterval time.Duration // between writes; newer changes are lost if the process is killed
	HalfLife     time.Duration // age at which a list has half its trust
	MaxAge       time.Duration // an older list is not used
}

// OperatorError is an error in the operator file.
type OperatorError struct {
	Path    string
	Key     string // "": the whole file
	Line    int    // 0: unknown
	Problem string
}

func (e OperatorError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.Path, e.Line, cmp.Or(e.Key, "the file"), e.Problem)
}

// ReadOperator reads and validates an operator file. All keys are optional, and an unknown key is an OperatorError. An empty
// path returns the defaults.
func ReadOperator(path string) (Operator, error) {
	f := defaultOperatorFile()
	var text []byte
	if path != "" {
		var err error
		if text, err = os.ReadFile(path); err != nil {
			return Operator{}, fmt.Errorf("the operator file: %w", err)
		}
	}
	decoder := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		return Operator{}, decodeError(path, err)
	}
	if err := f.validate(path, keyLines(text)); err != nil {
		return Operator{}, err
	}
	return f.operator(path), nil
}

// decodeError converts an error of the TOML decoder to an OperatorError.
func decodeError(path string, err error) error {
	var unknown *toml.StrictMissingError
	var malformed *toml.DecodeError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := unknown.Errors[0]
		line, _ := first.Position()
		return OperatorError{path, strings.Join(first.Key(), "."), line, "no such key"}
	}
	if errors.As(err, &malformed) {
		line, _ := malformed.Position()
		return OperatorError{path, strings.Join(malformed.Key(), "."), line, strings.TrimPrefix(malformed.Error(), "toml: ")}
	}
	return fmt.Errorf("%s: %w", path, err)
}
