package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/controlplane/maintenanceplanner"
	"zincloft.example/zincloft/internal/tools/maintenancefile"
)

// followInterval is the time between two looks at the windows.
const followInterval = time.Second

// scheduleFollower requests each window of a schedule at its time and prints what becomes of it. The control plane ends a window
// that has taken its time, so nothing hangs if the follower ends early.
type scheduleFollower struct {
	arguments *windowsArguments
	file      *maintenancefile.File
	schedule  maintenanceplanner.Schedule
	out       io.Writer

	requested int    // assignments so far
	lastAudit string // last entry of the audit log that was printed
}

// run follows the schedule until all windows are over or ctx ends.
func (f *scheduleFollower) run(ctx context.Context) error {
	for {
		if err := f.requestDue(); err != nil {
			return err
		}
		status, err := f.status(ctx)
		if err == nil { // else no member answers now, and the next look may find one
			if err := f.printNews(status.AuditLog); err != nil {
				return err
			}
			if f.requested == len(f.schedule.Assignments) && len(status.Windows) == 0 {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			_, err := fmt.Fprintln(f.out, "ended; windows that have begun go on")
			return err
		case <-time.After(followInterval):
		}
	}
}

// requestDue requests the windows whose time has come.
func (f *scheduleFollower) requestDue() error {
	for ; f.requested < len(f.schedule.Assignments); f.requested++ {
		due := f.schedule.Assignments[f.requested]
		if time.Now().Before(f.file.SlotStart(due.Start)) {
			return nil
		}
		err := f.arguments.send(maintenance.Command{
			Verb:            maintenance.VerbAsk,
			Nodes:           []string{due.Node},
			WindowName:      due.Window,
			DurationSeconds: int64(f.file.Durations[due.Window] / time.Second),
		})
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(f.out, "%s asked for %s\n", due.Window, due.Node); err != nil {
			return err
		}
	}
	return nil
}

func (f *scheduleFollower) status(ctx context.Context) (controller.MaintenanceStatus, error) {
	var status controller.MaintenanceStatus
	body, err := callMembers(ctx, f.arguments.addresses, "windows.describe", "", nil)
	if err != nil {
		return status, err
	}
	err = json.Unmarshal(body, &status)
	return status, err
}

// printNews prints the entries of the audit log that follow the last one printed, all of them if that has been dropped.
func (f *scheduleFollower) printNews(auditLog []string) error {
	news := auditLog[slices.Index(auditLog, f.lastAudit)+1:]
	for _, entry := range news {
		if _, err := fmt.Fprintln(f.out, entry); err != nil {
			return err
		}
		f.lastAudit = entry
	}
	return nil
}
