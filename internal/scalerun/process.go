package scalerun

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// process is a daemon of its own, with its settings, disk and log under dir.
type process struct {
	name, program, dir, control, zone string
	settings                          string // with one %v for first_start
	cmd                               *exec.Cmd
	ended                             chan struct{}
}

func (p *process) start(first bool) error {
	if err := os.MkdirAll(filepath.Join(p.dir, "data"), 0o700); err != nil {
		return err
	}
	node := filepath.Join(p.dir, "node.yaml")
	if err := os.WriteFile(node, fmt.Appendf(nil, p.settings, first), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(p.log(), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(p.program, "run")
	p.cmd.Env = append(os.Environ(), "ZINCLOFT_NODE_FILE="+node, "GOMAXPROCS=1") // a machine of the users has one core
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.ended = ended
	go func(c *exec.Cmd) { c.Wait(); close(ended) }(p.cmd)
	return nil
}

func (p *process) log() string { return filepath.Join(p.dir, "log") }

func (p *process) kill() {
	p.cmd.Process.Kill()
	<-p.ended
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// usage is what a process has used, from /proc. Read and Written are bytes of read and write calls, which TCP's are and UDP's are not.
type usage struct {
	CPU                                  time.Duration
	Memory, Peak, Read, Written, Sockets float64
}

const clockTick = time.Second / 100 // of /proc/PID/stat, on Linux

func (p *process) usage() (u usage, err error) {
	dir := "/proc/" + strconv.Itoa(p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return u, err
	}
	f := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	for _, i := range []int{11, 12} { // user and system time
		n, err := strconv.Atoi(f[i])
		if err != nil {
			return u, err
		}
		u.CPU += time.Duration(n) * clockTick
	}
	field := func(file, key string) (v float64) {
		raw, e := os.ReadFile(dir + "/" + file)
		if e != nil {
			err = e
			return 0
		}
		for line := range strings.Lines(string(raw)) {
			if strings.HasPrefix(line, key+":") {
				v, _ = strconv.ParseFloat(strings.Fields(line)[1], 64)
			}
		}
		return v
	}
	u.Memory, u.Peak = field("status", "VmRSS")*1024, field("status", "VmHWM")*1024
	u.Read, u.Written = field("io", "rchar"), field("io", "wchar")
	open, e := os.ReadDir(dir + "/fd")
	if e != nil {
		return u, e
	}
	for _, o := range open {
		if to, err := os.Readlink(dir + "/fd/" + o.Name()); err == nil && strings.HasPrefix(to, "socket:") {
			u.Sockets++
		}
	}
	return u, err
}

// limitCores keeps this process, and those that it starts from now on, on so many of the cores that it may use.
func limitCores(cores int) error {
	var set unix.CPUSet
	if err := unix.SchedGetaffinity(0, &set); err != nil {
		return err
	}
	var few unix.CPUSet
	for i := 0; i < 1024 && few.Count() < cores; i++ {
		if set.IsSet(i) {
			few.Set(i)
		}
	}
	tasks, err := os.ReadDir("/proc/self/task")
	if err != nil {
		return err
	}
	for _, t := range tasks {
		if tid, err := strconv.Atoi(t.Name()); err == nil {
			unix.SchedSetaffinity(tid, &few) // one that has just ended does not matter
		}
	}
	return nil
}

// call makes an operator's call.
func call(ctx context.Context, control, name string, body []byte) (int, []byte, error) {
	ctx, stop := context.WithTimeout(ctx, 30*time.Second)
	defer stop()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+control+"/api/rpc?call="+name, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, raw, err
}

// ready tells whether a comb is in touch, and filled.
func ready(ctx context.Context, control string) bool {
	status, raw, err := call(ctx, control, "core.describe", nil)
	var s struct {
		Self    string
		InTouch bool `json:"in_touch"`
		Members []struct {
			ID    string
			Place int
			Fresh bool
		}
	}
	if err != nil || status != http.StatusOK || json.Unmarshal(raw, &s) != nil || !s.InTouch {
		return false
	}
	for _, m := range s.Members {
		if m.ID == s.Self {
			return m.Place >= 0 && !m.Fresh
		}
	}
	return false
}
