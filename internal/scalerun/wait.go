package scalerun

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	stepTimeout  = 60 * time.Second // for which a condition is waited for
	pollInterval = 50 * time.Millisecond
	checkPeriod  = time.Second // between two looks at processes and memory
)

// ProcessEndedError tells that a daemon has ended by itself.
type ProcessEndedError struct{ Name, Log string }

func (e *ProcessEndedError) Error() string { return e.Name + " has ended; its log: " + e.Log }

// MemoryError tells that more memory is in use than Options allow.
type MemoryError struct{ UsedGB, MaxGB float64 }

func (e *MemoryError) Error() string {
	return fmt.Sprintf("%.1f GB are in use, above the bound of %v", e.UsedGB, e.MaxGB)
}

// until waits for a condition. It fails after stepTimeout, and as wait does.
func (e *experiment) until(ctx context.Context, what string, condition func() bool) error {
	for deadline := time.Now().Add(stepTimeout); !condition(); {
		if time.Now().After(deadline) {
			return merry.Errorf("%s: not within %v", what, stepTimeout)
		}
		if err := e.wait(ctx, pollInterval); err != nil {
			return merry.Prepend(err, what)
		}
	}
	return nil
}

// wait waits for a duration. It fails when a daemon has ended, memory is short, or ctx ends.
func (e *experiment) wait(ctx context.Context, duration time.Duration) error {
	for deadline := time.Now().Add(duration); ; {
		if err := e.checkProcesses(); err != nil {
			return err
		}
		left := time.Until(deadline)
		if left <= 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(min(left, checkPeriod)):
		}
	}
}

func (e *experiment) checkProcesses() error {
	memory := ownMemory()
	for _, p := range e.processes() {
		if !p.running() {
			return &ProcessEndedError{Name: p.name, Log: p.logTail()}
		}
		if used, err := p.usage(); err == nil { // else it is ending, which the next look finds
			memory += used.Memory
		}
	}
	if memory > e.MaxMemoryGB*bytesPerGB {
		return &MemoryError{UsedGB: memory / bytesPerGB, MaxGB: e.MaxMemoryGB}
	}
	return nil
}

// withoutProcess does something while one member is down on purpose.
func (e *experiment) withoutProcess(down *process, do func() error) error {
	all := e.members
	e.members = slices.DeleteFunc(slices.Clone(all), func(p *process) bool { return p == down })
	defer func() { e.members = all }()
	return do()
}
