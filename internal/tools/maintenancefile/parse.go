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
	maxSlots          = 20000 // of a schedule
	hoursPerDay       = 24
)

const (
	unknownKey   = "is no known key"
	unknownGroup = "is neither lookups nor orders"
)

// groups are the traffic groups that a file may name.
var groups = []string{capacity.Lookups, capacity.Orders}

// Parse reads what a file holds. Where a value is wrong the error is a *FieldError of the first one, or wraps the one of
// Request.Validate.
func Parse(raw []byte) (*File, error) {
	document, err := yaml.YAMLToJSON(raw)
	if err != nil {
		return nil, merry.Errorf("windows: not YAML: %w", err)
	}
	root := mapping{value: gjson.ParseBytes(document), errors: &errorRecorder{}}
	if !root.value.IsObject() {
		return nil, merry.New("windows: the file holds no table")
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
	root.checkKeys(unknownKey, "begins", "slot", "losses", "agreed", "nodes", "forecast", "windows")
	file := &File{
		Start:      root.moment("begins", time.Time{}),
		SlotLength: root.duration("slot", defaultSlotLength),
		Durations:  map[string]time.Duration{},
	}
	request := &file.Request
	request.FaultTolerance = parseFaultTolerance(root.submapping("losses"))
	for _, agreed := range root.list("agreed") {
		request.Demands = append(request.Demands, parseFloor(agreed))
	}
	for _, node := range root.list("nodes") {
		request.Nodes = append(request.Nodes, parseNode(node))
	}
	end := file.Start
	for _, window := range root.list("windows") {
		latest := file.addWindow(window)
		if latest.After(end) {
			end = latest
		}
	}
	request.SlotCount = file.slotFrom(end)
	if request.SlotCount > maxSlots {
		root.fail("slot", fmt.Sprintf("is too short: %d slots up to the latest end", request.SlotCount))
	}
	for _, forecast := range root.list("forecast") {
		file.addForecast(forecast)
	}
	return file
}

func parseFaultTolerance(losses mapping) capacity.FaultTolerance {
	losses.checkKeys(unknownKey, "machines", "zones")
	return capacity.FaultTolerance{
		Machines: int(losses.number("machines", 1)),
		Zones:    int(losses.number("zones", 0)),
	}
}

func parseGroup(m mapping) string {
	group := m.text("group")
	if group != capacity.Lookups && group != capacity.Orders {
		m.fail("group", unknownGroup)
	}
	return group
}

func parseFloor(agreed mapping) maintenanceplanner.Demand {
	agreed.checkKeys(unknownKey, "region", "group", "least")
	return maintenanceplanner.Demand{
		Region: agreed.text("region"),
		Group:  parseGroup(agreed),
		Floor:  agreed.number("least", 0),
	}
}

func parseNode(node mapping) capacity.Node {
	node.checkKeys(unknownKey, "node", "zone", "region", "carries")
	parsed := capacity.Node{
		Name:     node.text("node"),
		Zone:     node.text("zone"),
		Region:   node.text("region"),
		Capacity: map[string]float64{},
	}
	carries := node.submapping("carries")
	carries.checkKeys(unknownGroup, groups...)
	for _, group := range groups {
		parsed.Capacity[group] = carries.number(group, 0)
	}
	return parsed
}

// addWindow adds a window request and returns its latest end.
func (f *File) addWindow(window mapping) (latest time.Time) {
	window.checkKeys(unknownKey, "window", "nodes", "earliest", "latest", "takes", "together", "after", "apart")
	request := maintenanceplanner.WindowRequest{
		Name:          window.text("window"),
		Nodes:         window.texts("nodes"),
		MaxConcurrent: int(window.number("together", 0)),
		After:         window.texts("after"),
		Conflicts:     window.texts("apart"),
	}
	earliest := window.moment("earliest", f.Start)
	latest = window.moment("latest", time.Time{})
	if latest.IsZero() {
		window.fail("latest", "is missing")
	}
	if earliest.Before(f.Start) {
		window.fail("earliest", "is before begins")
	}
	duration := window.duration("takes", 0)
	f.Durations[request.Name] = duration
	request.Earliest = f.slotFrom(earliest)
	request.Latest = f.slotBefore(latest)
	request.DurationSlots = int((duration + f.SlotLength - 1) / f.SlotLength)
	f.Request.Windows = append(f.Request.Windows, request)
	return latest
}

// addForecast adds a forecast to the demand of its region and group.
func (f *File) addForecast(forecast mapping) {
	forecast.checkKeys(unknownKey, "region", "group", "spread", "by_hour")
	region, group := forecast.text("region"), parseGroup(forecast)
	byHour := forecast.value.Get("by_hour").Array()
	if len(byHour) != hoursPerDay {
		forecast.fail("by_hour", "is not a list of 24 numbers")
		return
	}
	spread := forecast.number("spread", 0)
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
