package maintenancefile

import (
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml"
	"github.com/tidwall/gjson"

	"zincloft.example/zincloft/capacity"
	"zincloft.example/zincloft/controlplane/maintenanceplanner"
)

const (
	defaultSlotLength = 30 * time.Minute
	maxSlots          = 20000 // maximum length of a schedule
	hoursPerDay       = 24
)

const (
	unknownKeyProblem   = "unknown key"
	unknownGroupProblem = "must be \"lookups\" or \"orders\""
)

// groups are the traffic groups that a file may name.
var groups = []string{capacity.Lookups, capacity.Orders}

// Parse parses and validates the content of a file. Its error is a *FieldError for the first invalid value, or wraps the error of
// Request.Validate.
func Parse(raw []byte) (*File, error) {
	document, err := yaml.YAMLToJSON(raw)
	if err != nil {
		return nil, merry.Errorf("windows: must be valid YAML: %w", err)
	}
	root := mapping{value: gjson.ParseBytes(document), errors: &errorRecorder{}}
	if !root.value.IsObject() {
		return nil, merry.New("windows: must be a YAML mapping")
	}
	file := parseRoot(root)
	if root.errors.err != nil {
		return nil, root.errors.err
	}
	if err := file.Request.Validate(); err != nil {
		return nil, merry.Prepend(err, "windows")
	}
	return file, nil
}

func parseRoot(root mapping) *File {
	root.checkKeys(unknownKeyProblem, "begins", "slot", "losses", "agreed", "nodes", "forecast", "windows")
	file := &File{
		Start:      root.timestamp("begins", time.Time{}),
		SlotLength: root.duration("slot", defaultSlotLength),
		Durations:  map[string]time.Duration{},
	}
	request := &file.Request
	request.FaultTolerance = parseFaultTolerance(root.submapping("losses"))
	for _, agreed := range root.mappings("agreed") {
		request.Demands = append(request.Demands, parseFloor(agreed))
	}
	for _, node := range root.mappings("nodes") {
		request.Nodes = append(request.Nodes, parseNode(node))
	}
	end := file.Start
	for _, window := range root.mappings("windows") {
		latest := file.addWindow(window)
		if latest.After(end) {
			end = latest
		}
	}
	request.SlotCount = file.ceilSlot(end)
	if request.SlotCount > maxSlots {
		root.fail("slot", fmt.Sprintf("must be longer: %d slots until the latest end, at most %d allowed", request.SlotCount, maxSlots))
	}
	for _, forecast := range root.mappings("forecast") {
		file.addForecast(forecast)
	}
	return file
}

func parseFaultTolerance(losses mapping) capacity.FaultTolerance {
	losses.checkKeys(unknownKeyProblem, "machines", "zones")
	return capacity.FaultTolerance{
		Machines: int(losses.nonNegative("machines", 1)),
		Zones:    int(losses.nonNegative("zones", 0)),
	}
}

func parseGroup(m mapping) string {
	group := m.requiredString("group")
	if group != capacity.Lookups && group != capacity.Orders {
		m.fail("group", unknownGroupProblem)
	}
	return group
}

func parseFloor(agreed mapping) maintenanceplanner.Demand {
	agreed.checkKeys(unknownKeyProblem, "region", "group", "least")
	return maintenanceplanner.Demand{
		Region: agreed.requiredString("region"),
		Group:  parseGroup(agreed),
		Floor:  agreed.nonNegative("least", 0),
	}
}

func parseNode(node mapping) capacity.Node {
	node.checkKeys(unknownKeyProblem, "node", "zone", "region", "carries")
	parsed := capacity.Node{
		Name:     node.requiredString("node"),
		Zone:     node.requiredString("zone"),
		Region:   node.requiredString("region"),
		Capacity: map[string]float64{},
	}
	carries := node.submapping("carries")
	carries.checkKeys(unknownGroupProblem, groups...)
	for _, group := range groups {
		parsed.Capacity[group] = carries.nonNegative(group, 0)
	}
	return parsed
}

// addWindow adds a window request and returns the latest time at which it may end.
func (f *File) addWindow(window mapping) (latest time.Time) {
	window.checkKeys(unknownKeyProblem, "window", "nodes", "earliest", "latest", "takes", "together", "after", "apart")
	request := maintenanceplanner.WindowRequest{
		Name:          window.requiredString("window"),
		Nodes:         window.stringArray("nodes"),
		MaxConcurrent: int(window.nonNegative("together", 0)),
		After:         window.stringArray("after"),
		Conflicts:     window.stringArray("apart"),
	}
	earliest := window.timestamp("earliest", f.Start)
	latest = window.timestamp("latest", time.Time{})
	if latest.IsZero() {
		window.fail("latest", "must be set")
	}
	if earliest.Before(f.Start) {
		window.fail("earliest", "must not be before begins")
	}
	duration := window.duration("takes", 0)
	f.Durations[request.Name] = duration
	request.Earliest = f.ceilSlot(earliest)
	request.Latest = f.floorSlot(latest)
	request.DurationSlots = int((duration + f.SlotLength - 1) / f.SlotLength)
	f.Request.Windows = append(f.Request.Windows, request)
	return latest
}

// addForecast adds a forecast to the demand of its region and group.
func (f *File) addForecast(forecast mapping) {
	forecast.checkKeys(unknownKeyProblem, "region", "group", "spread", "by_hour")
	region, group := forecast.requiredString("region"), parseGroup(forecast)
	byHour := forecast.value.Get("by_hour").Array()
	if len(byHour) != hoursPerDay {
		forecast.fail("by_hour", "must be an array of 24 numbers")
		return
	}
	spread := forecast.nonNegative("spread", 0)
	var bySlot []float64
	for slot := range min(f.Request.SlotCount, maxSlots) {
		hour := f.SlotStart(slot).UTC().Hour()
		bySlot = append(bySlot, byHour[hour].Num*(1+spread))
	}
	for i := range f.Request.Demands {
		if demand := &f.Request.Demands[i]; demand.Region == region && demand.Group == group {
			demand.Forecast = bySlot
			return
		}
	}
	f.Request.Demands = append(f.Request.Demands, maintenanceplanner.Demand{Region: region, Group: group, Forecast: bySlot})
}
