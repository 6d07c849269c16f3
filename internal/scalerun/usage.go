package scalerun

import (
	"bytes"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// usage is what a process has used, from /proc. Read and Written are bytes of read and write calls, which TCP's are and UDP's are
// not.
type usage struct {
	CPU                                  time.Duration
	Memory, Peak, Read, Written, Sockets float64
}

// clockTick is the unit of times in /proc/PID/stat, on Linux.
const clockTick = time.Second / 100

// Fields of /proc/PID/stat behind the command's name.
const (
	userTimeField   = 11
	systemTimeField = 12
)

const bytesPerKB = 1024 // of /proc/PID/status

// maxCPUs bounds the CPU numbers that limitCores looks at.
const maxCPUs = 1024

func (p *process) usage() (usage, error) {
	dir := fmt.Sprintf("/proc/%d", p.command.Process.Pid)
	cpu, err := cpuTime(dir)
	if err != nil {
		return usage{}, err
	}
	status, err := procFields(dir + "/status")
	if err != nil {
		return usage{}, err
	}
	io, err := procFields(dir + "/io")
	if err != nil {
		return usage{}, err
	}
	sockets, err := openSockets(dir)
	return usage{
		CPU:     cpu,
		Memory:  status["VmRSS"] * bytesPerKB,
		Peak:    status["VmHWM"] * bytesPerKB,
		Read:    io["rchar"],
		Written: io["wchar"],
		Sockets: sockets,
	}, err
}

func cpuTime(dir string) (time.Duration, error) {
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	var total time.Duration
	for _, field := range []int{userTimeField, systemTimeField} {
		ticks, err := strconv.Atoi(fields[field])
		if err != nil {
			return 0, err
		}
		total += time.Duration(ticks) * clockTick
	}
	return total, nil
}

// procFields reads the lines "key: number" of a file; others are skipped.
func procFields(path string) (map[string]float64, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	fields := map[string]float64{}
	for line := range strings.Lines(string(raw)) {
		key, rest, _ := strings.Cut(line, ":")
		words := strings.Fields(rest)
		if len(words) == 0 {
			continue
		}
		if value, err := strconv.ParseFloat(words[0], 64); err == nil {
			fields[key] = value
		}
	}
	return fields, nil
}

func openSockets(dir string) (float64, error) {
	descriptors, err := os.ReadDir(dir + "/fd")
	if err != nil {
		return 0, err
	}
	sockets := 0
	for _, descriptor := range descriptors {
		if target, err := os.Readlink(dir + "/fd/" + descriptor.Name()); err == nil && strings.HasPrefix(target, "socket:") {
			sockets++
		}
	}
	return float64(sockets), nil
}

// ownMemory is what this process holds of the system's memory, in bytes.
func ownMemory() float64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.Sys - stats.HeapReleased)
}

// limitCores keeps this process, and those that it starts from now on, on so many of the cores that it may use.
func limitCores(cores int) error {
	var allowed, chosen unix.CPUSet
	if err := unix.SchedGetaffinity(0, &allowed); err != nil {
		return err
	}
	for cpu := 0; cpu < maxCPUs && chosen.Count() < cores; cpu++ {
		if allowed.IsSet(cpu) {
			chosen.Set(cpu)
		}
	}
	threads, err := os.ReadDir("/proc/self/task")
	if err != nil {
		return err
	}
	for _, thread := range threads {
		if id, err := strconv.Atoi(thread.Name()); err == nil {
			_ = unix.SchedSetaffinity(id, &chosen) // a thread that has just ended does not matter
		}
	}
	return nil
}
