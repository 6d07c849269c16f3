package soak

import (
	"context"
	"os"
	"path/filepath"
	"time"
)

const (
	watchInterval  = 10 * time.Millisecond
	syncInterval   = 100 * time.Millisecond
	stallThreshold = 100 * time.Millisecond // of a late timer, or of the time to sync a small file
	watchFile      = "machinewatch"
)

// Stall is a time during which the machine did not run the soak itself, or its disk did not sync a small file.
type Stall struct {
	Began time.Duration `json:"began"`
	Ended time.Duration `json:"ended"`
}

// watchMachine records stalls of the machine until ctx ends. A daemon may lose contact during a stall without any fault of the schedule.
func (c *cluster) watchMachine(ctx context.Context) {
	c.traffic.Go(func() {
		c.recordStalls(ctx, watchInterval, func() error { return nil })
	})
	c.traffic.Go(func() {
		path := filepath.Join(c.options.Dir, watchFile)
		c.recordStalls(ctx, syncInterval, func() error { return syncFile(path) })
		_ = os.Remove(path) // it may never have been created
	})
}

// recordStalls repeats an action and records when it is late or takes long.
func (c *cluster) recordStalls(ctx context.Context, interval time.Duration, action func() error) {
	for began := c.now(); ctx.Err() == nil; {
		time.Sleep(interval)
		if err := action(); err != nil {
			c.recordFinding("machinewatch", err.Error())
			return
		}
		ended := c.now()
		if ended-began-interval > stallThreshold {
			stall := Stall{Began: began, Ended: ended}
			c.record.update(func(r *Record) { r.Stalls = append(r.Stalls, stall) })
		}
		began = ended
	}
}

// syncFile writes a small file and syncs it.
func syncFile(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // Sync reports write errors
	if _, err := file.WriteString("x"); err != nil {
		return err
	}
	return file.Sync()
}
