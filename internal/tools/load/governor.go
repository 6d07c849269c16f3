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
	governorLog      = "zinclab-governor.log" // in the temporary directory; kept after the run
	configMode       = 0o600
	governorMemoryMB = 192
	extraSockets     = 200 // in addition to one per proxy
	listenAttempts   = 200
	listenInterval   = 20 * time.Millisecond
	clockTicks       = 100 // per second, in /proc/PID/stat
	cpuUserField     = 11  // index in /proc/PID/stat after the process name
	cpuSystemField   = 12
	peakMemoryKey    = "VmHWM:"
	kilobytesPerMB   = 1024
)

var errNotListening = errors.New("governor is not listening")

// governor is a governor process.
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
		return nil, fmt.Errorf("create governor log: %w", err)
	}
	defer log.Close() //nolint:errcheck // the process has its own descriptor
	command.Stderr = log
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("start governor: %w", err)
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

// freeAddress returns a loopback address with a port that is currently free.
func freeAddress(ctx context.Context) (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find free port for governor: %w", err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		return "", fmt.Errorf("find free port for governor: %w", err)
	}
	return address, nil
}

// writeConfig writes the governor's configuration file and returns its path.
func (s *site) writeConfig() (string, error) {
	config, err := json.Marshal(s.config())
	if err != nil {
		return "", fmt.Errorf("encode governor configuration: %w", err)
	}
	path := filepath.Join(s.directory, "config.json")
	if err := os.WriteFile(path, config, configMode); err != nil {
		return "", fmt.Errorf("write governor configuration: %w", err)
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

// stop sends a signal to the process and waits until it exits. It does nothing if the process was stopped before.
func (g *governor) stop(signal syscall.Signal) {
	if g.command.ProcessState != nil {
		return
	}
	_ = g.command.Process.Signal(signal) // fails only if the process has exited
	_ = g.command.Wait()                 // a process that was signalled has no meaningful exit status
}

// cpuSeconds returns the CPU time of the process, or 0 if it can't be read.
func (g *governor) cpuSeconds() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", g.command.Process.Pid))
	if err != nil {
		return 0
	}
	afterName := string(text[bytes.LastIndexByte(text, ')')+1:]) // the process name may contain spaces
	fields := strings.Fields(afterName)
	if len(fields) <= cpuSystemField {
		return 0
	}
	user, _ := strconv.ParseFloat(fields[cpuUserField], 64)
	system, _ := strconv.ParseFloat(fields[cpuSystemField], 64)
	return (user + system) / clockTicks
}

// peakMemoryMB returns the peak resident memory of the process, or 0 if it can't be read.
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
