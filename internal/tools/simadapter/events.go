package simadapter

import (
	"errors"
	"fmt"
	"math"

	"zincloft.example/zincloft/internal/governor/config"
	"zincloft.example/zincloft/rules"
)

// Event codes of the simulator's protocol.
const (
	eventSliceAssigned = iota
	eventSelectInstance
	eventSliceWeight
	eventKilled
	eventWake
	eventPeerMessage
	eventJoined
	eventEndpointStats
	eventStart
	eventApplied
	eventProbed
	eventSliceTraffic
	eventLeft
	eventList
	eventGroupTraffic
)

// maxLoadValues is the number of values in a load report.
const maxLoadValues = 4

// decodeEvent decodes a record and adds its event to the instance.
func (d *Decoder) decodeEvent(instance *InstanceEvents, r record) error {
	event, err := d.event(instance.Instance, r)
	var settingsError config.SettingsError
	if r.code() == eventStart && errors.As(err, &settingsError) {
		instance.SettingsError = err
		return nil
	}
	if err != nil {
		return err
	}
	instance.Events = append(instance.Events, event)
	return nil
}

func (d *Decoder) event(id InstanceID, r record) (rules.Event, error) {
	switch r.code() {
	case eventSliceAssigned:
		return rules.SliceAssigned{Slice: rules.SliceID(r.uint16(1)), Assigned: r.bytes[3] != 0}, nil
	case eventSliceWeight:
		return rules.SliceWeight{Slice: rules.SliceID(r.uint16(1)), Replica: rules.ReplicaID(r.uint32(3)), Weight: r.float32(7)}, nil
	case eventKilled:
		return rules.Killed{}, nil
	case eventWake:
		return rules.Wake{TimerID: r.uint64(1)}, nil
	case eventPeerMessage:
		return peerMessage(r)
	case eventJoined:
		return rules.Joined{Proxy: rules.ProxyID(r.uint16(1)), Zone: rules.ZoneID(r.bytes[3]), FlowRate: r.float32(4), Fresh: r.bytes[8] != 0}, nil
	case eventEndpointStats:
		return rules.EndpointStats{Dropped: int(r.uint32(1)), MeanLatency: r.duration(5), Window: r.duration(13), Zone: rules.ZoneID(r.bytes[21]),
			Attempts: int(r.uint32(22)), Replica: rules.ReplicaID(r.uint32(26)), Report: d.loadReport(id, r, 30)}, nil
	case eventStart:
		return d.start(id, r)
	case eventApplied:
		return rules.Applied{Proxy: rules.ProxyID(r.uint16(1)), Version: uint16(r.uint64(3)), Delay: r.duration(11)}, nil
	case eventProbed:
		return rules.Probed{Replica: rules.ReplicaID(r.uint32(1)), Healthy: r.uint16(5) == 1, Latency: r.duration(7),
			Report: d.loadReport(id, r, 15)}, nil
	case eventSliceTraffic:
		return rules.SliceTraffic{Group: rules.GroupID(r.bytes[1]), Slice: rules.SliceID(r.uint16(2)), Window: r.duration(4),
			Flows: int(r.uint32(12)), Dropped: int(r.uint32(16))}, nil
	case eventLeft:
		return rules.Left{Proxy: rules.ProxyID(r.uint16(1))}, nil
	case eventList:
		return replicaList(r)
	case eventGroupTraffic:
		return rules.GroupTraffic{Proxy: rules.ProxyID(r.uint16(1)), Group: rules.GroupID(r.bytes[3]), Flows: int(r.uint32(4)),
			Dropped: int(r.uint32(8)), Window: r.duration(12)}, nil
	}
	return nil, fmt.Errorf("%w: unknown event code %d", ErrMalformedFrame, r.code())
}

func peerMessage(r record) (rules.Event, error) {
	data, err := r.tailBytes(5, 1)
	return rules.PeerMessage{From: rules.PeerID(r.uint32(1)), Data: data}, err
}

// start decodes a start event with the settings of an instance. The error is a config.SettingsError if they are invalid.
func (d *Decoder) start(id InstanceID, r record) (rules.Event, error) {
	text, err := r.tailBytes(9, 1)
	if err != nil {
		return nil, err
	}
	settings, err := config.ReadSettings(text)
	if err != nil {
		return nil, err
	}
	d.loadMetrics[id] = settings.LoadMetricNames
	return rules.Start{Seed: r.uint64(1), Settings: settings.Settings}, nil
}

// loadReport decodes a count and up to four values, in the order of the load metrics in the settings. It skips values that are
// negative or not finite.
func (d *Decoder) loadReport(id InstanceID, r record, at int) rules.LoadReport {
	report := rules.LoadReport{Utilization: rules.Absent, InFlight: rules.Absent, ServiceTime: rules.Absent, Rate: rules.Absent}
	count := min(int(r.bytes[at]), maxLoadValues, len(d.loadMetrics[id]))
	for i, name := range d.loadMetrics[id][:count] {
		value := r.float32(at + 1 + 4*i)
		if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
			continue
		}
		config.SetLoadMetric(&report, []byte(name), value)
	}
	return report
}

func replicaList(r record) (rules.Event, error) {
	scopes := []rules.Scope{rules.Changes, rules.Full, rules.Cached, rules.Failed}
	states := []rules.State{rules.Deregistered, rules.Ready, rules.Draining}
	if int(r.bytes[1]) >= len(scopes) {
		return nil, fmt.Errorf("%w: unknown list scope %d", ErrMalformedFrame, r.bytes[1])
	}
	data, err := r.tailBytes(10, entrySize)
	if err != nil {
		return nil, err
	}
	list := rules.List{Scope: scopes[r.bytes[1]]}
	for ; len(data) > 0; data = data[entrySize:] {
		if int(data[8]) >= len(states) {
			return nil, fmt.Errorf("%w: unknown replica state %d", ErrMalformedFrame, data[8])
		}
		entry := record{bytes: data}
		list.Entries = append(list.Entries, rules.Entry{
			Replica:   rules.ReplicaID(entry.uint32(0)),
			Zone:      rules.ZoneID(data[4]),
			Kind:      rules.KindID(data[5]),
			Cell:      rules.CellID(entry.uint16(6)),
			State:     states[data[8]],
			Listed:    entry.float32(9),
			StartedAt: rules.Time(entry.uint64(13)),
		})
	}
	return list, nil
}
