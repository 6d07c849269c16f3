package soak

import (
	"bufio"
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"

	"zincloft.example/zincloft/internal/daemons/nodesettings"
)

const (
	restartDelay     = 100 * time.Millisecond // as the platform waits before it starts a process again
	readinessTimeout = 500 * time.Millisecond
	stopTimeout      = 8 * time.Second // beyond the grace period a process that was asked to stop is killed
	settingsFile     = "node.yaml"
	logFile          = "log"
	dataFolder       = "data"
	maxFindings      = 20 // of one process
)

// daemon is one host's process. It is started again whenever it ends, unless it is held down.
type daemon struct {
	host
	program string
	dir     string
	seeds   []string
	report  func(ProcessEventKind, string)
	finding func(string)

	mu         sync.Mutex
	command    *exec.Cmd
	ended      chan struct{}
	expected   ProcessEventKind // what the run is about to do to the process; empty: it is to run
	heldDown   int              // faults that keep it down
	firstStart bool
	finished   bool // the run is over
	restarting sync.WaitGroup
}

func newDaemon(h host, options Options, seeds []string, report func(ProcessEventKind, string), finding func(string)) *daemon {
	program := "gateway"
	if h.isMember {
		program = "controlplane"
	}
	dir := filepath.Join(options.Dir, h.name)
	if h.isMember {
		h.dataDir = filepath.Join(dir, dataFolder)
	}
	return &daemon{host: h, program: filepath.Join(options.BinDir, program), dir: dir, seeds: seeds, report: report, finding: finding, firstStart: true}
}

// start starts the process, with a log that goes on behind that of the one before.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.finished || d.heldDown > 0 || d.command != nil && !hasEnded(d.ended) {
		return nil // two that wait to start it may have come together
	}
	if err := d.prepare(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, logFile), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	command := exec.CommandContext(context.Background(), d.program, "run", "--metrics", strconv.Itoa(metricsPort)+"/metrics")
	command.Env = append(os.Environ(), nodesettings.PathVariable+"="+filepath.Join(d.dir, settingsFile))
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	limit := unix.Rlimit{Cur: maxDescriptors, Max: maxDescriptors}
	if err := unix.Prlimit(command.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		return merry.Prepend(err, "limiting descriptors")
	}
	d.command, d.ended, d.expected = command, make(chan struct{}), ""
	d.report(ProcessStarted, "")
	go d.wait(command, d.ended)
	return nil
}

// prepare writes the settings and makes the folders that the process needs.
func (d *daemon) prepare() error {
	if err := os.MkdirAll(d.dir, 0o700); err != nil {
		return err
	}
	if d.isMember {
		if err := os.MkdirAll(d.dataDir, 0o700); err != nil {
			return err
		}
	}
	return d.writeSettings()
}

func (d *daemon) writeSettings() error {
	return os.WriteFile(filepath.Join(d.dir, settingsFile), d.settings(d.firstStart, d.seeds), 0o600)
}

// wait waits for the process's end, reports it and starts the process again.
func (d *daemon) wait(command *exec.Cmd, ended chan struct{}) {
	err := command.Wait()
	d.mu.Lock()
	change, detail := d.expected, ""
	if change == "" {
		change, detail = ProcessEnded, d.lastLines(err)
	}
	finished := d.finished
	d.firstStart = false // the platform's settings say so from the second start on
	d.restarting.Add(1)
	d.mu.Unlock()
	defer d.restarting.Done()
	if !finished {
		d.report(change, detail)
	}
	close(ended)
	time.Sleep(restartDelay)
	if err := d.start(); err != nil {
		d.finding("cannot be started again: " + err.Error())
	}
}

func (d *daemon) lastLines(err error) string {
	text := ""
	if err != nil {
		text = err.Error() + ": "
	}
	raw, readErr := os.ReadFile(filepath.Join(d.dir, logFile))
	if readErr != nil {
		return text + readErr.Error()
	}
	const tail = 600
	return text + string(raw[max(len(raw)-tail, 0):])
}

// signal sends a signal to the process, if it runs.
func (d *daemon) signal(signal syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command != nil {
		_ = d.command.Process.Signal(signal) // it may have ended
	}
}

// kill kills the process. It is started again soon.
func (d *daemon) kill() {
	d.endBy(ProcessKilled, syscall.SIGKILL)
}

// stop asks the process to end, and waits until it has.
func (d *daemon) stop() {
	d.endBy(ProcessStopped, syscall.SIGTERM)
}

func (d *daemon) endBy(change ProcessEventKind, signal syscall.Signal) {
	d.mu.Lock()
	d.expected = change
	command, ended := d.command, d.ended
	d.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(signal) // it may have ended
	_ = command.Process.Signal(syscall.SIGCONT)
	select {
	case <-ended:
	case <-time.After(stopTimeout):
		d.finding("did not end by itself within " + stopTimeout.String())
		_ = command.Process.Kill()
		<-ended
	}
}

// holdDown keeps the process from being started again until the returned function is called.
func (d *daemon) holdDown() (release func()) {
	d.mu.Lock()
	d.heldDown++
	d.mu.Unlock()
	return func() {
		d.mu.Lock()
		d.heldDown--
		down := d.heldDown == 0 && hasEnded(d.ended)
		d.mu.Unlock()
		if !down {
			return
		}
		if err := d.start(); err != nil {
			d.finding("cannot be started again: " + err.Error())
		}
	}
}

func hasEnded(ended chan struct{}) bool {
	select {
	case <-ended:
		return true
	default:
		return false
	}
}

// wipe empties the process's disk; it must be down.
func (d *daemon) wipe() error { return os.RemoveAll(d.dataDir) }

// finish ends the process for good and gathers what its log should not hold.
func (d *daemon) finish() {
	d.mu.Lock()
	d.finished = true
	command, ended := d.command, d.ended
	d.mu.Unlock()
	if command != nil {
		_ = command.Process.Kill() // it may have ended
		<-ended
	}
	d.restarting.Wait()
	d.scanLog()
}

// alarmingTexts in a log are findings.
var alarmingTexts = []string{"event=invariant_violated", "panic: ", "DATA RACE", "fatal error: "}

func (d *daemon) scanLog() {
	file, err := os.Open(filepath.Join(d.dir, logFile))
	if err != nil {
		return // it was never started
	}
	defer func() { _ = file.Close() }() // it was only read
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for found := 0; lines.Scan() && found < maxFindings; {
		for _, text := range alarmingTexts {
			if strings.Contains(lines.Text(), text) {
				d.finding(lines.Text())
				found++
				break
			}
		}
	}
}

// isReady asks a gateway whether it is ready for clients.
func (d *daemon) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readinessTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.readinessAddress()+"/api/readiness", nil)
	if err != nil {
		return false
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close() // it is empty
	return response.StatusCode == http.StatusOK
}
