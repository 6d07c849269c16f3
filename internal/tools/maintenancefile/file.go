// Package maintenancefile reads the file in which operators write down agreed capacity, forecasts and the maintenance windows that
// they want, and shows the schedule made of it.
package maintenancefile

import (
	"os"
	"time"

	"zincloft.example/zincloft/capacity"
	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/controlplane/maintenanceplanner"
)

// File is a valid file.
type File struct {
	Start      time.Time     // of slot 0
	SlotLength time.Duration // of the schedule's slots
	Request    maintenanceplanner.Request
	Durations  map[string]time.Duration // of windows by name, before they are rounded up to slots
}

// Read reads the file at path.
func Read(path string) (*File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(raw)
}

// AgreeCommand returns the command that has the control plane keep what the file says is agreed.
func (f *File) AgreeCommand() maintenance.Command {
	command := maintenance.Command{
		Verb:           maintenance.VerbAgree,
		FaultTolerance: f.Request.FaultTolerance,
		DeclaredNodes:  f.Request.Nodes,
	}
	for _, demand := range f.Request.Demands {
		floor := capacity.Floor{Region: demand.Region, Group: demand.Group, Minimum: demand.Floor}
		command.AgreedFloors = append(command.AgreedFloors, floor)
	}
	return command
}

// SlotStart returns when a slot begins.
func (f *File) SlotStart(slot int) time.Time {
	return f.Start.Add(time.Duration(slot) * f.SlotLength)
}

// slotFrom returns the first slot that begins at t or later, slotBefore the last one that begins at t or earlier.
func (f *File) slotFrom(t time.Time) int {
	offset := t.Sub(f.Start)
	if offset%f.SlotLength != 0 {
		offset += f.SlotLength
	}
	return int(offset / f.SlotLength)
}

func (f *File) slotBefore(t time.Time) int { return int(t.Sub(f.Start) / f.SlotLength) }
