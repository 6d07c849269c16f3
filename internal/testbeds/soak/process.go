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
	restartDelay     = 100 * time.Millisecond // emulates the platform's restart delay
	readinessTimeout = 500 * time.Millisecond
	stopTimeout      = 8 * time.Second // longer than the grace period; then the process is killed
	settingsFile     = "node.yaml"
	logFile          = "log"
	dataFolder       = "data"
	maxFindings      = 20 // per process
)

// daemon is the process of one host. It is restarted whenever it exits, except while a fault prevents it.
type daemon struct {
	host
	program       string
	dir           string
	seeds         []string
	reportEvent   func(ProcessEventKind, string)
	reportFinding func(string)

	mu            sync.Mutex
	command       *exec.Cmd
	ended         chan struct{}
	expectedEvent ProcessEventKind // recorded at the next exit; empty: no exit is expected
	restartBlocks int              // number of faults that prevent a restart
	firstStart    bool
	finished      bool // the run is over
	restarting    sync.WaitGroup
}

func newDaemon(h host, options Options, seeds []string, reportEvent func(ProcessEventKind, string), reportFinding func(string)) *daemon {
	program := "gateway"
	if h.isMember {
		program = "controlplane"
	}
	dir := filepath.Join(options.Dir, h.name)
	if h.isMember {
		h.dataDir = filepath.Join(dir, dataFolder)
	}
	return &daemon{host: h, program: filepath.Join(options.BinDir, program), dir: dir, seeds: seeds, reportEvent: reportEvent, reportFinding: reportFinding, firstStart: true}
}

// start starts the process and appends its output to the log.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.finished || d.restartBlocks > 0 || d.command != nil && !hasEnded(d.ended) {
		return nil // a concurrent call may have started it already
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
	command.Env = append(os.Environ(), nodesettings.PathEnvVar+"="+filepath.Join(d.dir, settingsFile))
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	limit := unix.Rlimit{Cur: uint64(d.descriptors), Max: uint64(d.descriptors)}
	if err := unix.Prlimit(command.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		return merry.Prepend(err, "limiting file descriptors")
	}
	d.command, d.ended, d.expectedEvent = command, make(chan struct{}), ""
	d.reportEvent(ProcessStarted, "")
	go d.wait(command, d.ended)
	return nil
}

// prepare creates the process's directories and writes its settings.
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

// wait waits until the process exits, reports the exit and restarts the process.
func (d *daemon) wait(command *exec.Cmd, ended chan struct{}) {
	err := command.Wait()
	d.mu.Lock()
	kind, detail := d.expectedEvent, ""
	if kind == "" {
		kind, detail = ProcessEnded, d.exitDetail(err)
	}
	finished := d.finished
	d.firstStart = false // as the platform sets it from the second start on
	d.restarting.Add(1)
	d.mu.Unlock()
	defer d.restarting.Done()
	if !finished {
		d.reportEvent(kind, detail)
	}
	close(ended)
	time.Sleep(restartDelay)
	if err := d.start(); err != nil {
		d.reportFinding("restart failed: " + err.Error())
	}
}

// exitDetail returns the exit error and the end of the log.
func (d *daemon) exitDetail(err error) string {
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

// signal sends a signal to the process if it is running.
func (d *daemon) signal(signal syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command != nil {
		_ = d.command.Process.Signal(signal) // fails if the process has exited
	}
}

// kill sends SIGKILL. The process is restarted after restartDelay.
func (d *daemon) kill() {
	d.terminate(ProcessKilled, syscall.SIGKILL)
}

// stop sends SIGTERM and waits until the process has exited.
func (d *daemon) stop() {
	d.terminate(ProcessStopped, syscall.SIGTERM)
}

func (d *daemon) terminate(kind ProcessEventKind, signal syscall.Signal) {
	d.mu.Lock()
	d.expectedEvent = kind
	command, ended := d.command, d.ended
	d.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(signal)          // fails if the process has exited
	_ = command.Process.Signal(syscall.SIGCONT) // a paused process must handle the signal
	select {
	case <-ended:
	case <-time.After(stopTimeout):
		d.reportFinding("did not exit within " + stopTimeout.String() + " after the signal \"" + signal.String() + "\"")
		_ = command.Process.Kill()
		<-ended
	}
}

// blockRestart prevents a restart of the process until release is called.
func (d *daemon) blockRestart() (release func()) {
	d.mu.Lock()
	d.restartBlocks++
	d.mu.Unlock()
	return func() {
		d.mu.Lock()
		d.restartBlocks--
		down := d.restartBlocks == 0 && hasEnded(d.ended)
		d.mu.Unlock()
		if !down {
			return
		}
		if err := d.start(); err != nil {
			d.reportFinding("restart failed: " + err.Error())
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

// wipe deletes the data directory. The process must not be running.
func (d *daemon) wipe() error { return os.RemoveAll(d.dataDir) }

// finish kills the process without a restart and reports the failures in its log.
func (d *daemon) finish() {
	d.mu.Lock()
	d.finished = true
	command, ended := d.command, d.ended
	d.mu.Unlock()
	if command != nil {
		_ = command.Process.Kill() // fails if the process has exited
		<-ended
	}
	d.restarting.Wait()
	d.scanLog()
}

// failureMarkers identify log lines that are reported as findings.
var failureMarkers = []string{"event=invariant_violated", "panic: ", "DATA RACE", "fatal error: "}

func (d *daemon) scanLog() {
	file, err := os.Open(filepath.Join(d.dir, logFile))
	if err != nil {
		return // the process was never started
	}
	defer func() { _ = file.Close() }() // opened for reading only
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for found := 0; lines.Scan() && found < maxFindings; {
		for _, text := range failureMarkers {
			if strings.Contains(lines.Text(), text) {
				d.reportFinding(lines.Text())
				found++
				break
			}
		}
	}
}

// isReady reports whether a gateway's readiness endpoint answers 200.
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
	_ = response.Body.Close() // only the status is needed
	return response.StatusCode == http.StatusOK
}
