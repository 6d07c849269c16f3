// Package simadapter reads and writes the simulator's frames and puts its words into those of package rules.
// It decides nothing.
package simadapter

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"zincloft.example/zincloft/internal/config"
	"zincloft.example/zincloft/rules"
)

const (
	batchHeaderSize = 16
	replyHeaderSize = 8
	eventSize       = 48
	orderSize       = 24
	entrySize       = 21
	maxFrameSize    = 1 << 30
)

// InstanceID is the simulator's number for one governor.
type InstanceID uint16

// InstanceEvents is what one batch holds for one instance.
type InstanceEvents struct {
	Instance      InstanceID
	Events        []rules.Event
	SettingsError error // settings that the instance cannot run on
}

// Batch is one frame of events. Shares stand in the order in which their instances are first named.
type Batch struct {
	Now       rules.Time
	Instances []*InstanceEvents
}

// Decoder reads batches. It remembers which load figures each instance's site reports.
type Decoder struct {
	r      io.Reader
	fields map[InstanceID][]string
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: r, fields: map[InstanceID][]string{}}
}

// Next reads one batch. It returns io.EOF at a clean end of input.
func (d *Decoder) Next() (*Batch, error) {
	var head [batchHeaderSize]byte
	if _, err := io.ReadFull(d.r, head[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, errors.New("truncated frame: the input ends inside a header")
		}
		return nil, err
	}
	size := binary.LittleEndian.Uint32(head[0:])
	count := binary.LittleEndian.Uint32(head[12:])
	body := int64(size) - batchHeaderSize
	if body < int64(count)*eventSize || size > maxFrameSize {
		return nil, fmt.Errorf("malformed frame: %d bytes for %d records", size, count)
	}
	data := make([]byte, body)
	if _, err := io.ReadFull(d.r, data); err != nil {
		return nil, fmt.Errorf("truncated frame: %d bytes announced", size)
	}
	records, tail := data[:count*eventSize], data[count*eventSize:]
	b := &Batch{Now: rules.Time(binary.LittleEndian.Uint64(head[4:]))}
	shares := map[InstanceID]*InstanceEvents{}
	var cur *InstanceEvents
	for i := 0; i < len(records); i += eventSize {
		rec := record{records[i : i+eventSize], tail}
		if rec.b[0] == evSelect {
			id := InstanceID(rec.u16(1))
			if cur = shares[id]; cur == nil {
				cur = &InstanceEvents{Instance: id}
				shares[id] = cur
				b.Instances = append(b.Instances, cur)
			}
			continue
		}
		if cur == nil {
			return nil, fmt.Errorf("malformed frame: event code %d before any instance is named", rec.b[0])
		}
		if err := d.event(cur, rec); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// Event codes.
const (
	evTenure = iota
	evSelect
	evHeld
	evKilled
	evDeadlineHit
	evPeerData
	evSubscribed
	evStats
	evStart
	evCaughtUp
	evEcho
	evPressure
	evDroppedOff
	evUpdate
	evIntake
)

func (d *Decoder) event(s *InstanceEvents, r record) error {
	var e rules.Event
	switch code := r.b[0]; code {
	case evTenure:
		e = rules.SliceGiven{Slice: rules.SliceID(r.u16(1)), Given: r.b[3] != 0}
	case evHeld:
		e = rules.SliceLine{Slice: rules.SliceID(r.u16(1)), Replica: rules.ReplicaID(r.u32(3)), Weight: r.f32(7)}
	case evKilled:
		e = rules.Killed{}
	case evDeadlineHit:
		e = rules.Wake{Mark: r.u64(1)}
	case evPeerData:
		data, err := r.tailBytes(5, 1)
		if err != nil {
			return err
		}
		e = rules.Peer{From: rules.PeerID(r.u32(1)), Data: data}
	case evSubscribed:
		e = rules.Joined{Proxy: rules.ProxyID(r.u16(1)), Zone: rules.ZoneID(r.b[3]), Rate: r.f32(4), Fresh: r.b[8] != 0}
	case evStats:
		e = rules.Sums{Dropped: int(r.u32(1)), Took: r.span(5), Over: r.span(13), Zone: rules.ZoneID(r.b[21]),
			Tries: int(r.u32(22)), Replica: rules.ReplicaID(r.u32(26)), Report: d.report(s.Instance, r, 30)}
	case evStart:
		text, err := r.tailBytes(9, 1)
		if err != nil {
			return err
		}
		settings, err := config.ReadSettings(text)
		var fault config.SettingsError
		if errors.As(err, &fault) {
			s.SettingsError = err
			return nil
		} else if err != nil {
			return err
		}
		d.fields[s.Instance] = settings.LoadFields
		e = rules.Start{Seed: r.u64(1), Settings: settings.Settings}
	case evCaughtUp:
		e = rules.Applied{Proxy: rules.ProxyID(r.u16(1)), Version: uint16(r.u64(3)), Took: r.span(11)}
	case evEcho:
		e = rules.Probed{Replica: rules.ReplicaID(r.u32(1)), Good: r.u16(5) == 1, Took: r.span(7),
			Report: d.report(s.Instance, r, 15)}
	case evPressure:
		e = rules.SliceHeat{Group: rules.GroupID(r.b[1]), Slice: rules.SliceID(r.u16(2)), Over: r.span(4),
			Flows: int(r.u32(12)), Dropped: int(r.u32(16))}
	case evDroppedOff:
		e = rules.Left{Proxy: rules.ProxyID(r.u16(1))}
	case evUpdate:
		list, err := r.list()
		if err != nil {
			return err
		}
		e = list
	case evIntake:
		e = rules.Intake{Proxy: rules.ProxyID(r.u16(1)), Group: rules.GroupID(r.b[3]), Flows: int(r.u32(4)),
			Dropped: int(r.u32(8)), Over: r.span(12)}
	default:
		return fmt.Errorf("unknown event code %d", code)
	}
	s.Events = append(s.Events, e)
	return nil
}

// report reads a load report: a count and up to four values in the site's order.
func (d *Decoder) report(id InstanceID, r record, at int) rules.Report {
	rep := rules.Report{Util: rules.Absent, InFlight: rules.Absent, ServiceTime: rules.Absent, Rate: rules.Absent}
	for i, name := range d.fields[id] {
		if i >= int(r.b[at]) || i >= 4 {
			break
		}
		v := r.f32(at + 1 + 4*i)
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			continue
		}
		config.SetLoadFigure(&rep, []byte(name), v)
	}
	return rep
}

type record struct{ b, tail []byte }

func (r record) u16(at int) uint16         { return binary.LittleEndian.Uint16(r.b[at:]) }
func (r record) u32(at int) uint32         { return binary.LittleEndian.Uint32(r.b[at:]) }
func (r record) u64(at int) uint64         { return binary.LittleEndian.Uint64(r.b[at:]) }
func (r record) span(at int) time.Duration { return time.Duration(r.u64(at)) }
func (r record) f32(at int) float64        { return float64(math.Float32frombits(r.u32(at))) }

func (r record) tailBytes(at, unit int) ([]byte, error) {
	from, n := uint64(r.u32(at)), uint64(r.u32(at+4))*uint64(unit)
	if from+n > uint64(len(r.tail)) {
		return nil, fmt.Errorf("malformed frame: event code %d points past the tail", r.b[0])
	}
	return r.tail[from : from+n], nil
}

func (r record) list() (rules.List, error) {
	scopes := []rules.Scope{rules.Changes, rules.Whole, rules.Cached, rules.Failed}
	if int(r.b[1]) >= len(scopes) {
		return rules.List{}, fmt.Errorf("malformed frame: unknown list scope %d", r.b[1])
	}
	data, err := r.tailBytes(10, entrySize)
	if err != nil {
		return rules.List{}, err
	}
	list := rules.List{Scope: scopes[r.b[1]]}
	for ; len(data) > 0; data = data[entrySize:] {
		states := []rules.State{rules.Gone, rules.Ready, rules.Draining}
		if int(data[8]) >= len(states) {
			return list, fmt.Errorf("malformed frame: unknown replica state %d", data[8])
		}
		e := record{b: data}
		list.Entries = append(list.Entries, rules.Entry{Replica: rules.ReplicaID(e.u32(0)),
			Zone: rules.ZoneID(data[4]), Kind: rules.KindID(data[5]), Cell: rules.CellID(e.u16(6)),
			State: states[data[8]], Listed: e.f32(9), StartedAt: rules.Time(e.u64(13))})
	}
	return list, nil
}

// Order codes.
const (
	orDefer = iota
	orAskLoad
	orWritePeer
	orSayLog
	orBug
	orObserve
	orRefresh
	orLine
	orResetTable
	orBench
	orAttachTable
	orLevel
	orNonce
	orContext
)

// Reply gathers the orders that answer one batch.
type Reply struct {
	records, tail []byte
	count         uint32
}

func (r *Reply) record(code byte) []byte {
	r.count++
	r.records = append(r.records, make([]byte, orderSize)...)
	rec := r.records[len(r.records)-orderSize:]
	rec[0] = code
	return rec
}

func (r *Reply) text(rec []byte, at int, text []byte) {
	put32(rec, at, uint32(len(r.tail)))
	put32(rec, at+4, uint32(len(text)))
	r.tail = append(r.tail, text...)
}

func put16(b []byte, at int, v uint16) { binary.LittleEndian.PutUint16(b[at:], v) }
func put32(b []byte, at int, v uint32) { binary.LittleEndian.PutUint32(b[at:], v) }
func put64(b []byte, at int, v uint64) { binary.LittleEndian.PutUint64(b[at:], v) }
func putF(b []byte, at int, v float64) { put32(b, at, math.Float32bits(float32(v))) }

func putFlag(b []byte, at int, v bool) {
	if v {
		b[at] = 1
	}
}

// SelectInstance names the instance of the orders that follow.
func (r *Reply) SelectInstance(id InstanceID) { put16(r.record(orContext), 1, uint16(id)) }

// AddBug says that the decision code has failed.
func (r *Reply) AddBug(text string) { r.text(r.record(orBug), 1, []byte(text)) }

// AddOrder adds one order.
func (r *Reply) AddOrder(o rules.Order) error {
	switch o := o.(type) {
	case rules.Line:
		rec := r.record(orLine)
		put16(rec, 1, uint16(o.Table))
		putF(rec, 3, o.Weight)
		put32(rec, 7, uint32(o.Replica))
	case rules.Admit:
		rec := r.record(orLevel)
		putF(rec, 1, o.Level)
		put16(rec, 5, uint16(o.Table))
		rec[7] = byte(o.Retry)
		put16(rec, 8, uint16(o.Groups))
	case rules.Bind:
		rec := r.record(orAttachTable)
		put16(rec, 1, uint16(o.Groups))
		put16(rec, 3, uint16(o.Table))
		put16(rec, 5, uint16(o.Proxy))
	case rules.ClearTable:
		put16(r.record(orResetTable), 1, uint16(o.Table))
	case rules.Withdraw:
		rec := r.record(orBench)
		put32(rec, 1, uint32(o.Replica))
		putFlag(rec, 5, o.Out)
	case rules.Mark:
		rec := r.record(orNonce)
		put64(rec, 1, uint64(o.Version))
		putFlag(rec, 9, o.ToAll)
	case rules.WakeAfter:
		rec := r.record(orDefer)
		put64(rec, 1, uint64(o.After))
		put64(rec, 9, o.Mark)
	case rules.Observe:
		putFlag(r.record(orObserve), 1, o.On)
	case rules.FetchList:
		r.record(orRefresh)
	case rules.Probe:
		put32(r.record(orAskLoad), 1, uint32(o.Replica))
	case rules.Tell:
		rec := r.record(orWritePeer)
		put16(rec, 1, uint16(o.To))
		r.text(rec, 3, o.Data)
	case rules.Forget: // the simulator numbers replicas itself
	case rules.Log:
		r.text(r.record(orSayLog), 1, []byte(o.Text))
	default:
		return fmt.Errorf("no code for the order %T", o)
	}
	return nil
}

// Encode returns the reply's bytes.
func (r *Reply) Encode() []byte {
	out := make([]byte, replyHeaderSize, replyHeaderSize+len(r.records)+len(r.tail))
	out = append(append(out, r.records...), r.tail...)
	put32(out, 0, uint32(len(out)))
	put32(out, 4, r.count)
	return out
}
