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

// pollInterval is the time between two queries of the windows' status.
const pollInterval = time.Second

// scheduleFollower requests each window of a schedule at its start time and prints the audit log. The control plane ends a window
// after its duration, so no window stays open if the follower exits early.
type scheduleFollower struct {
	options  *windowsOptions
	file     *maintenancefile.File
	schedule maintenanceplanner.Schedule
	out      io.Writer

	requested      int    // number of assignments requested so far
	lastAuditEntry string // last audit log entry printed
}

// run follows the schedule until all windows have ended or ctx is done.
func (f *scheduleFollower) run(ctx context.Context) error {
	for {
		if err := f.requestDue(); err != nil {
			return err
		}
		status, err := f.status(ctx)
		if err == nil { // a failed query is retried at the next poll
			if err := f.printNewAuditEntries(status.AuditLog); err != nil {
				return err
			}
			if f.requested == len(f.schedule.Assignments) && len(status.Windows) == 0 {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			_, err := fmt.Fprintln(f.out, "stopped; windows already started continue")
			return err
		case <-time.After(pollInterval):
		}
	}
}

// requestDue requests the windows whose start time has passed.
func (f *scheduleFollower) requestDue() error {
	for ; f.requested < len(f.schedule.Assignments); f.requested++ {
		due := f.schedule.Assignments[f.requested]
		if time.Now().Before(f.file.SlotStart(due.Start)) {
			return nil
		}
		err := f.options.send(maintenance.Command{
			Verb:            maintenance.VerbAsk,
			Nodes:           []string{due.Node},
			WindowName:      due.Window,
			DurationSeconds: int64(f.file.Durations[due.Window] / time.Second),
		})
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(f.out, "requested window %s for node %s\n", due.Window, due.Node); err != nil {
			return err
		}
	}
	return nil
}

func (f *scheduleFollower) status(ctx context.Context) (controller.MaintenanceStatus, error) {
	var status controller.MaintenanceStatus
	body, err := callMembers(ctx, f.options.addresses, "windows.describe", "", nil)
	if err != nil {
		return status, err
	}
	err = json.Unmarshal(body, &status)
	return status, err
}

// printNewAuditEntries prints the audit log entries after the last one printed, or all entries if that one is no longer in the log.
func (f *scheduleFollower) printNewAuditEntries(auditLog []string) error {
	newEntries := auditLog[slices.Index(auditLog, f.lastAuditEntry)+1:]
	for _, entry := range newEntries {
		if _, err := fmt.Fprintln(f.out, entry); err != nil {
			return err
		}
		f.lastAuditEntry = entry
	}
	return nil
}
