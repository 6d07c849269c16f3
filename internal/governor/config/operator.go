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

// Operator holds the options of the operator file: what goes beyond the platform's protocol. All of it is off by default.
type Operator struct {
	Path     string // "": there is none
	Intake   IntakeOptions
	Graphite GraphiteOptions
	Collectd CollectdOptions
	State    StateOptions
}

// IntakeOptions are the section [intake].
type IntakeOptions struct {
	ReportsMode          ReportsMode
	RecordsPerSecond     int           // 0: derived from the limits
	HalfLife             time.Duration // a record this old counts for half
	MaxAge               time.Duration // an older one counts for nothing
	MaxPairs             int           // failing pairs of proxy and replica that are remembered; 0: derived
	StreamBytesPerSecond int           // read from one stream; 0: derived
}

// ReportsMode is the use that is made of batches of single proxies.
type ReportsMode string

// Uses of batches.
const (
	ReportsOff   ReportsMode = "off"   // not taken: the message is of an unknown kind
	ReportsPairs ReportsMode = "pairs" // for pairs that fail; collectors' sums make the fleet's
	ReportsSums  ReportsMode = "sums"  // for the fleet's sums too, in place of collectors'
)

// Enabled reports whether batches of single proxies are accepted at all.
func (o IntakeOptions) Enabled() bool {
	return o.ReportsMode == ReportsPairs || o.ReportsMode == ReportsSums
}

// GraphiteOptions are the section [graphite].
type GraphiteOptions struct {
	Address         string // "": nothing is sent
	Prefix          string // of each path
	Interval        time.Duration
	MaxQueuedPoints int // 0: derived from the limits
}

// CollectdOptions are the section [collectd].
type CollectdOptions struct {
	Listen           string // "": nothing is listened on
	AllowedSources   []netip.Prefix
	Security         collectd.SecurityLevel
	UsersFile        string // file of users and passwords; "": none are known
	PacketsPerSecond int
	ReplicaByHost    map[string]string // a host's replica, where the names differ
	Mappings         []collectd.Mapping
}

// StateOptions are the section [state].
type StateOptions struct {
	Dir          string        // "": nothing is kept
	SyncInterval time.Duration // between writes; what is newer is lost when the process is killed
	HalfLife     time.Duration // a list of this age is trusted by half
	MaxAge       time.Duration // an older one is not used
}

// OperatorError is a fault of the operator file, by key and line.
type OperatorError struct {
	Path    string
	Key     string // "": the file as a whole
	Line    int    // 0: unknown
	Problem string
}

func (e OperatorError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.Path, e.Line, cmp.Or(e.Key, "the file"), e.Problem)
}

// ReadOperator reads and validates an operator file. Every key may be left out; an unknown one is an OperatorError. The path
// "" stands for no file, which gives the defaults.
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

// decodeError converts an error of the TOML decoder into an OperatorError.
func decodeError(path string, err error) error {
	var missing *toml.StrictMissingError
	var bad *toml.DecodeError
	if errors.As(err, &missing) && len(missing.Errors) > 0 {
		first := missing.Errors[0]
		line, _ := first.Position()
		return OperatorError{path, strings.Join(first.Key(), "."), line, "no such key"}
	}
	if errors.As(err, &bad) {
		line, _ := bad.Position()
		return OperatorError{path, strings.Join(bad.Key(), "."), line, strings.TrimPrefix(bad.Error(), "toml: ")}
	}
	return fmt.Errorf("%s: %w", path, err)
}
