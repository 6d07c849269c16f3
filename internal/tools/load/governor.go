package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	governorLog      = "zinclab-governor.log" // in the temporary folder; kept after the run
	configMode       = 0o600
	governorMemoryMB = 192
	extraSockets     = 200 // besides one a proxy
	listenAttempts   = 200
	listenInterval   = 20 * time.Millisecond
	clockTicks       = 100 // a second, in /proc
	cpuUserField     = 11  // of /proc/PID/stat, after the program's name
	cpuSystemField   = 12
	peakMemoryKey    = "VmHWM:"
	kilobytesPerMB   = 1024
)

var errNotListening = errors.New("the governor does not listen")

// governor is a process of the governor's program.
type governor struct {
	command *exec.Cmd
}

// startGovernor starts the governor on a free port and waits until it listens.
func (s *site) startGovernor(ctx context.Context) (*governor, error) {
	address, err := freeAddress(ctx)
	if err != nil {
		return nil, err
	}
	s.address = address
	configPath, err := s.writeConfig()
	if err != nil {
		return nil, err
	}
	command := exec.CommandContext(ctx, s.plan.Binary)
	command.Env = append(os.Environ(), "LB_CONFIG="+configPath, "ZINCLOFT_OPERATOR="+s.plan.OperatorFile, "ZINCLOFT_PROFILE="+s.plan.ProfilePath)
	log, err := os.Create(filepath.Join(os.TempDir(), governorLog))
	if err != nil {
		return nil, fmt.Errorf("the governor's log: %w", err)
	}
	defer log.Close() //nolint:errcheck // the process has a descriptor of its own
	command.Stderr = log
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("the governor: %w", err)
	}
	for range listenAttempts {
		if conn, err := dial(ctx, s.address); err == nil {
			closeQuietly(conn)
			return &governor{command}, nil
		}
		time.Sleep(listenInterval)
	}
	return nil, fmt.Errorf("%w on %s", errNotListening, s.address)
}

// freeAddress finds a loopback port that is free now.
func freeAddress(ctx context.Context) (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("an address for the governor: %w", err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		return "", fmt.Errorf("an address for the governor: %w", err)
	}
	return address, nil
}

// writeConfig writes the configuration that the platform would give the governor.
func (s *site) writeConfig() (string, error) {
	config, err := json.Marshal(s.config())
	if err != nil {
		return "", fmt.Errorf("the configuration: %w", err)
	}
	path := filepath.Join(s.folder, "config.json")
	if err := os.WriteFile(path, config, configMode); err != nil {
		return "", fmt.Errorf("the configuration: %w", err)
	}
	return path, nil
}

func (s *site) config() map[string]any {
	second := int64(time.Second)
	rate := s.plan.ChannelRatePerProxy * float64(s.plan.Proxies)
	var zones []string
	for zone := range s.plan.Zones {
		zones = append(zones, zoneName(zone))
	}
	return map[string]any{
		"name": "load", "listen": s.address, "discovery": s.discovery.address, "seed": strconv.FormatUint(s.plan.Seed, 16),
		"limits": map[string]any{"cores": 1.0, "memory_mb": governorMemoryMB, "sockets": s.plan.Proxies + extraSockets},
		"settings": map[string]any{
			"balancers": 1, "discovery": "on_request", "tick": 4_000_000, "zones": zones, "hostTypes": []string{"m"}, "myZone": 0,
			"lanes": []map[string]any{
				{"name": "look", "aim": second, "deadline": 3 * second, "effect": "retryable", "importance": 3},
				{"name": "edit", "aim": 2 * second, "deadline": 5 * second, "effect": "dedup", "group": "all", "window": 5 * second, "importance": 2},
				{"name": "pay", "aim": 3 * second, "deadline": 7 * second, "effect": "unsafe", "importance": 2}},
			"familyInfo": map[string]any{"bare": 5 * second, "interval": second, "levelKind": "none", "linesPerS": rate, "perMessage": 6,
				"queueCap": 2 * rate, "pushDelayMax": second / 2, "updateCap": 20, "reloadSpan": 10 * second, "dataPlaneSize": s.plan.Proxies,
				"failsToEject": 3},
			"guarantees": map[string]any{"askWithin": 10 * second, "coldFrom": 0.2, "fallMultiple": 4, "overloadFor": 2 * second,
				"stopSendingWithin": 3 * second, "warmAfter": 18 * second},
			"report": map[string]any{"fields": []string{"util", "inflight"}}, "permissions": map[string]any{"connIdle": 15 * second},
		}}
}

// stop signals the process and waits for its end. Its exit status says nothing, as it was asked to end. A second stop does
// nothing.
func (g *governor) stop(signal syscall.Signal) {
	if g.command.ProcessState != nil {
		return
	}
	_ = g.command.Process.Signal(signal) // fails if it has ended already, which Wait tells
	_ = g.command.Wait()
}

// cpuSeconds is the CPU time that the process has used; 0 if that can't be read.
func (g *governor) cpuSeconds() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", g.command.Process.Pid))
	if err != nil {
		return 0
	}
	afterName := string(text[bytes.LastIndexByte(text, ')')+1:]) // the program's name may hold anything
	fields := strings.Fields(afterName)
	if len(fields) <= cpuSystemField {
		return 0
	}
	user, _ := strconv.ParseFloat(fields[cpuUserField], 64)
	system, _ := strconv.ParseFloat(fields[cpuSystemField], 64)
	return (user + system) / clockTicks
}

// peakMemoryMB is the highest resident memory that the process has had; 0 if that can't be read.
func (g *governor) peakMemoryMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, peakMemoryKey); found {
			kilobytes, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kilobytes / kilobytesPerMB
		}
	}
	return 0
}
