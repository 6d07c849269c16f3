// Package maintenancefile reads the file in which operators declare agreed capacity, forecasts and requested maintenance windows,
// and renders the schedule planned from it.
package maintenancefile

import (
	"os"
	"time"

	"zincloft.example/zincloft/capacity"
	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/controlplane/maintenanceplanner"
)

// File is a parsed and validated maintenance file.
type File struct {
	Start      time.Time     // start of slot 0
	SlotLength time.Duration // length of each slot of the schedule
	Request    maintenanceplanner.Request
	Durations  map[string]time.Duration // by window name, not rounded up to slots
}

// Read parses the file at path.
func Read(path string) (*File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(raw)
}

// AgreeCommand returns the command that stores the file's agreed capacity, fault tolerance and nodes in the control plane.
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

// SlotStart returns the start time of a slot.
func (f *File) SlotStart(slot int) time.Time {
	return f.Start.Add(time.Duration(slot) * f.SlotLength)
}

// ceilSlot returns the first slot that starts at or after t.
func (f *File) ceilSlot(t time.Time) int {
	offset := t.Sub(f.Start)
	if offset%f.SlotLength != 0 {
		offset += f.SlotLength
	}
	return int(offset / f.SlotLength)
}

// floorSlot returns the last slot that starts at or before t.
func (f *File) floorSlot(t time.Time) int { return int(t.Sub(f.Start) / f.SlotLength) }
