// Package config reads and validates the configuration of a governor and sets defaults. Its sources are the environment, the
// file that LB_CONFIG names with the settings object in it, and the operator file.
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
)

// Config is the configuration of one governor.
type Config struct {
	Name       string
	Listen     string // where proxies and collectors connect
	Discovery  string // host and port
	Seed       uint64
	CachedList json.RawMessage // endpoint list to start with, as discovery encodes it
	Limits     Limits
	Settings   Settings
	Bounds     Bounds
	Operator   Operator
}

// Limits are the resource limits of the machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// defaultLimits apply to limits that the file does not set.
var defaultLimits = Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}

// validate returns an error that names the first invalid limit.
func (l Limits) validate() error {
	switch {
	case !(l.Cores > 0): // rejects NaN too
		return fmt.Errorf("limits.cores: want a number above 0, got %v", l.Cores)
	case l.MemoryMB <= 0:
		return fmt.Errorf("limits.memory_mb: want a number above 0, got %d", l.MemoryMB)
	case l.Sockets <= 0:
		return fmt.Errorf("limits.sockets: want a number above 0, got %d", l.Sockets)
	}
	return nil
}

// configFile is the JSON file that LB_CONFIG names.
type configFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// Load reads the configuration at startup. For the name and the addresses, the environment takes precedence over the file.
// operator is the path of the operator file; if it is empty, ZINCLOFT_OPERATOR names the file. Errors name the variable or
// key at fault.
func Load(getenv func(string) string, operator string) (Config, error) {
	return readConfig(getenv, operator, false)
}

// Reload rereads the files while a governor runs with the configuration current. The file takes precedence over the
// environment, which cannot have changed since startup. Only the address of discovery can change: a changed name or listen
// address is an error, and other changes require a restart and are named in pending. On an error it returns current.
func Reload(getenv func(string) string, current Config) (c Config, pending []string, err error) {
	c, err = readConfig(getenv, current.Operator.Path, true)
	switch {
	case err != nil:
		return current, nil, err
	case c.Name != current.Name:
		return current, nil, fmt.Errorf("name: changing %q to %q requires a restart", current.Name, c.Name)
	case c.Listen != current.Listen:
		return current, nil, fmt.Errorf("listen: changing %s to %s requires a restart", current.Listen, c.Listen)
	}
	if c.Limits != current.Limits {
		pending = append(pending, "limits")
	}
	if !reflect.DeepEqual(c.Settings, current.Settings) {
		pending = append(pending, "settings")
	}
	if !reflect.DeepEqual(c.Operator, current.Operator) {
		pending = append(pending, "operator")
	}
	current.Discovery = c.Discovery
	return current, pending, nil
}

// OperatorPath returns the path of the operator file: named or, if that is empty, the value of ZINCLOFT_OPERATOR. It is empty
// if there is no operator file.
func OperatorPath(getenv func(string) string, named string) string {
	return cmp.Or(named, getenv("ZINCLOFT_OPERATOR"))
}

// readConfig reads and validates the configuration. If fileFirst is set, the file takes precedence over the environment.
func readConfig(getenv func(string) string, operator string, fileFirst bool) (Config, error) {
	path := getenv("LB_CONFIG")
	if path == "" {
		return Config{}, errors.New("LB_CONFIG is not set; it must name the configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("LB_CONFIG: %w", err)
	}
	f := configFile{Limits: defaultLimits}
	if err := json.Unmarshal(text, &f); err != nil {
		return Config{}, fmt.Errorf("LB_CONFIG: decoding %s: %w", path, err)
	}
	c := Config{CachedList: f.Known, Limits: f.Limits}
	if err := c.setNameAndAddresses(getenv, f, path, fileFirst); err != nil {
		return Config{}, err
	}
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return Config{}, fmt.Errorf("seed: want up to 16 hex digits, got %q", f.Seed)
	}
	if err := f.Limits.validate(); err != nil {
		return Config{}, err
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

// setNameAndAddresses sets the fields that both the environment and the file can set.
func (c *Config) setNameAndAddresses(getenv func(string) string, f configFile, path string, fileFirst bool) error {
	for _, v := range []struct {
		variable, key, inFile string
		target                *string
		isAddress             bool
	}{
		{"LB_NAME", "name", f.Name, &c.Name, false},
		{"LB_LISTEN", "listen", f.Listen, &c.Listen, true},
		{"LB_DISCOVERY", "discovery", f.Discovery, &c.Discovery, true},
	} {
		if *v.target = cmp.Or(getenv(v.variable), v.inFile); fileFirst {
			*v.target = cmp.Or(v.inFile, *v.target)
		}
		if *v.target == "" {
			return fmt.Errorf("%s is not set, and %s lacks %s", v.variable, path, v.key)
		}
		if _, _, err := net.SplitHostPort(*v.target); v.isAddress && err != nil {
			return fmt.Errorf("%s (%s): %w", v.variable, v.key, err)
		}
	}
	return nil
}
