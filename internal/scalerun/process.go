package scalerun

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"

	"zincloft.example/zincloft/internal/nodesettings"
)

// logTailSize is how many bytes of a log an error quotes.
const logTailSize = 600

// process is a daemon of its own, with its settings, disk and log under dir.
type process struct {
	name, program, dir string
	controlAddress     string // empty: none
	readinessAddress   string // empty: none
	settings           string // with one %v for first_start
	command            *exec.Cmd
	ended              chan struct{}
}

func (p *process) start(firstStart bool) (err error) {
	if err := os.MkdirAll(filepath.Join(p.dir, "data"), 0o700); err != nil {
		return err
	}
	settingsPath := filepath.Join(p.dir, "node.yaml")
	if err := os.WriteFile(settingsPath, fmt.Appendf(nil, p.settings, firstStart), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := log.Close(); err == nil {
			err = closeErr
		}
	}()
	command := exec.CommandContext(context.Background(), p.program, "run")                         // ended by kill
	command.Env = append(os.Environ(), nodesettings.PathVariable+"="+settingsPath, "GOMAXPROCS=1") // the users' machines have one core
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.command, p.ended = command, ended
	go func() {
		_ = command.Wait() // how it ended is in its log
		close(ended)
	}()
	return nil
}

func (p *process) logPath() string { return filepath.Join(p.dir, "log") }

// logTail returns the end of the log.
func (p *process) logTail() string {
	raw, err := os.ReadFile(p.logPath())
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(raw[max(len(raw)-logTailSize, 0):]))
}

func (p *process) kill() {
	_ = p.command.Process.Kill() // it may have ended by itself
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
