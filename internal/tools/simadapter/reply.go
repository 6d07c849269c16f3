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

// Order codes of the simulator's protocol.
const (
	orderWakeAfter = iota
	orderProbe
	orderSendToPeer
	orderLog
	orderBug
	orderWatchList
	orderFetchList
	orderEndpointWeight
	orderClearTable
	orderReplicaEjection
	orderBind
	orderAdmit
	orderAckRequest
	orderSelectInstance
)

// Reply collects the orders that answer one batch. The zero value is an empty reply.
type Reply struct {
	records, tail []byte
	count         uint32
}

// SelectInstance selects the instance that the following orders belong to.
func (r *Reply) SelectInstance(id InstanceID) {
	r.addRecord(orderSelectInstance).putUint16(1, uint16(id))
}

// AddBug reports a failure of the decision code.
func (r *Reply) AddBug(text string) { r.addText(r.addRecord(orderBug), 1, []byte(text)) }

// AddOrder adds one order. It returns an error if the protocol has no code for it.
func (r *Reply) AddOrder(order rules.Order) error {
	switch o := order.(type) {
	case rules.EndpointWeight:
		record := r.addRecord(orderEndpointWeight)
		record.putUint16(1, uint16(o.Table))
		record.putFloat32(3, o.Weight)
		record.putUint32(7, uint32(o.Replica))
	case rules.Admit:
		record := r.addRecord(orderAdmit)
		record.putFloat32(1, o.Level)
		record.putUint16(5, uint16(o.Table))
		record[7] = byte(o.Retry)
		record.putUint16(8, uint16(o.Groups))
	case rules.Bind:
		record := r.addRecord(orderBind)
		record.putUint16(1, uint16(o.Groups))
		record.putUint16(3, uint16(o.Table))
		record.putUint16(5, uint16(o.Proxy))
	case rules.ClearTable:
		r.addRecord(orderClearTable).putUint16(1, uint16(o.Table))
	case rules.ReplicaEjection:
		record := r.addRecord(orderReplicaEjection)
		record.putUint32(1, uint32(o.Replica))
		record.putBool(5, o.Ejected)
	case rules.AckRequest:
		record := r.addRecord(orderAckRequest)
		record.putUint64(1, uint64(o.Version))
		record.putBool(9, o.AllProxies)
	case rules.WakeAfter:
		record := r.addRecord(orderWakeAfter)
		record.putUint64(1, uint64(o.After))
		record.putUint64(9, o.TimerID)
	case rules.WatchList:
		r.addRecord(orderWatchList).putBool(1, o.On)
	case rules.FetchList:
		r.addRecord(orderFetchList)
	case rules.Probe:
		r.addRecord(orderProbe).putUint32(1, uint32(o.Replica))
	case rules.SendToPeer:
		record := r.addRecord(orderSendToPeer)
		record.putUint16(1, uint16(o.To))
		r.addText(record, 3, o.Data)
	case rules.Forget: // the simulator assigns replica IDs, so there are no names to release
	case rules.Log:
		r.addText(r.addRecord(orderLog), 1, []byte(o.Text))
	default:
		return fmt.Errorf("no code for order %T", order)
	}
	return nil
}

// Encode returns the encoded frame.
func (r *Reply) Encode() []byte {
	frame := make(orderRecord, replyHeaderSize, replyHeaderSize+len(r.records)+len(r.tail))
	frame = append(append(frame, r.records...), r.tail...)
	frame.putUint32(0, uint32(len(frame)))
	frame.putUint32(4, r.count)
	return frame
}

// addRecord appends an empty record, which is valid until the next one is added.
func (r *Reply) addRecord(code byte) orderRecord {
	r.count++
	r.records = append(r.records, make([]byte, orderSize)...)
	record := orderRecord(r.records[len(r.records)-orderSize:])
	record[0] = code
	return record
}

// addText appends text to the tail and stores its offset and length in the record.
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
