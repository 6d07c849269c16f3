package simadapter

import (
	"encoding/binary"
	"fmt"
	"math"

	"zincloft.example/zincloft/rules"
)

const (
	replyHeaderSize = 8
	orderSize       = 24
)

// Order codes, by the simulator's names.
const (
	orderDefer = iota
	orderAskLoad
	orderWritePeer
	orderSayLog
	orderBug
	orderObserve
	orderRefresh
	orderLine
	orderResetTable
	orderBench
	orderAttachTable
	orderLevel
	orderNonce
	orderContext
)

// Reply collects the orders that answer one batch. The zero Reply is empty.
type Reply struct {
	records, tail []byte
	count         uint32
}

// SelectInstance names the instance of the orders that follow.
func (r *Reply) SelectInstance(id InstanceID) { r.addRecord(orderContext).putUint16(1, uint16(id)) }

// AddBug reports that the decision code has failed.
func (r *Reply) AddBug(text string) { r.addText(r.addRecord(orderBug), 1, []byte(text)) }

// AddOrder adds one order. It fails on an order that the simulator does not know.
func (r *Reply) AddOrder(order rules.Order) error {
	switch o := order.(type) {
	case rules.EndpointWeight:
		record := r.addRecord(orderLine)
		record.putUint16(1, uint16(o.Table))
		record.putFloat32(3, o.Weight)
		record.putUint32(7, uint32(o.Replica))
	case rules.Admit:
		record := r.addRecord(orderLevel)
		record.putFloat32(1, o.Level)
		record.putUint16(5, uint16(o.Table))
		record[7] = byte(o.Retry)
		record.putUint16(8, uint16(o.Groups))
	case rules.Bind:
		record := r.addRecord(orderAttachTable)
		record.putUint16(1, uint16(o.Groups))
		record.putUint16(3, uint16(o.Table))
		record.putUint16(5, uint16(o.Proxy))
	case rules.ClearTable:
		r.addRecord(orderResetTable).putUint16(1, uint16(o.Table))
	case rules.ReplicaEjection:
		record := r.addRecord(orderBench)
		record.putUint32(1, uint32(o.Replica))
		record.putBool(5, o.Ejected)
	case rules.AckRequest:
		record := r.addRecord(orderNonce)
		record.putUint64(1, uint64(o.Version))
		record.putBool(9, o.AllProxies)
	case rules.WakeAfter:
		record := r.addRecord(orderDefer)
		record.putUint64(1, uint64(o.After))
		record.putUint64(9, o.TimerID)
	case rules.WatchList:
		r.addRecord(orderObserve).putBool(1, o.On)
	case rules.FetchList:
		r.addRecord(orderRefresh)
	case rules.Probe:
		r.addRecord(orderAskLoad).putUint32(1, uint32(o.Replica))
	case rules.SendToPeer:
		record := r.addRecord(orderWritePeer)
		record.putUint16(1, uint16(o.To))
		r.addText(record, 3, o.Data)
	case rules.Forget: // the simulator numbers replicas itself
	case rules.Log:
		r.addText(r.addRecord(orderSayLog), 1, []byte(o.Text))
	default:
		return fmt.Errorf("no code for the order %T", order)
	}
	return nil
}

// Encode returns the reply's frame.
func (r *Reply) Encode() []byte {
	frame := make(orderRecord, replyHeaderSize, replyHeaderSize+len(r.records)+len(r.tail))
	frame = append(append(frame, r.records...), r.tail...)
	frame.putUint32(0, uint32(len(frame)))
	frame.putUint32(4, r.count)
	return frame
}

// addRecord appends an empty record; it is valid until the next one is added.
func (r *Reply) addRecord(code byte) orderRecord {
	r.count++
	r.records = append(r.records, make([]byte, orderSize)...)
	record := orderRecord(r.records[len(r.records)-orderSize:])
	record[0] = code
	return record
}

// addText appends a text to the tail and has a record point to it.
func (r *Reply) addText(record orderRecord, at int, text []byte) {
	record.putUint32(at, uint32(len(r.tail)))
	record.putUint32(at+4, uint32(len(text)))
	r.tail = append(r.tail, text...)
}

// orderRecord is a record of a reply.
type orderRecord []byte

func (r orderRecord) putUint16(at int, v uint16) { binary.LittleEndian.PutUint16(r[at:], v) }
func (r orderRecord) putUint32(at int, v uint32) { binary.LittleEndian.PutUint32(r[at:], v) }
func (r orderRecord) putUint64(at int, v uint64) { binary.LittleEndian.PutUint64(r[at:], v) }

func (r orderRecord) putFloat32(at int, v float64) { r.putUint32(at, math.Float32bits(float32(v))) }

func (r orderRecord) putBool(at int, v bool) {
	if v {
		r[at] = 1
	}
}
