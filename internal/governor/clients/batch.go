package clients

import (
	"bytes"
	"math"
	"time"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/rules"
)

// decodeBatch reads what a proxy has met at each replica (docs/reports.md). A record of an unknown replica is skipped alone,
// as one that has just gone is no fault of the sender; any other fault makes the whole batch invalid.
func (c *codec) decodeBatch(f *fields) *intake.Batch {
	f.require("sidecar", "window", "records")
	b := intake.NewBatch()
	b.Proxy = c.proxy(f)
	b.Window = f.positiveDuration("window")
	b.Age = f.duration("age")
	b.Sequence = uint32(f.integer("seq", math.MaxUint32))
	b.SentAt = rules.Time(f.integer("sent", math.MaxInt64/int(time.Millisecond))) * rules.Time(time.Millisecond)
	text, _ := f.value("records")
	for len(text) > 0 {
		var record []byte
		record, text, _ = bytes.Cut(text, comma)
		r, known, valid := c.decodeRecord(f, record)
		if !valid {
			f.fail("records")
			break
		}
		if known {
			b.Records = append(b.Records, r)
		} else {
			b.UnknownReplicas++
		}
	}
	return b
}

const (
	recordParts       = 4 // replica:tries:dropped:milliseconds
	recordPartsOfLoad = 7 // and with a load report :util:inflight:milliseconds since it was received
)

// decodeRecord reads one record of a batch, and reports whether its replica is known and whether it is valid.
func (c *codec) decodeRecord(f *fields, text []byte) (r intake.Record, known, valid bool) {
	var buffer [recordPartsOfLoad][]byte
	parts, ok := splitRecord(text, &buffer)
	if !ok {
		return r, false, false
	}
	var validTries, validDropped, validTook bool
	r.Report = noReport
	r.Attempts, validTries = parseInteger(parts[1], math.MaxInt32)
	r.Dropped, validDropped = parseInteger(parts[2], r.Attempts)
	r.MeanLatency, validTook = f.parseMilliseconds(parts[3])
	validLoad := true
	if len(parts) == recordPartsOfLoad {
		var validUtil, validInFlight, validHeard bool
		r.Report.Utilization, validUtil = parseFloat(parts[4])
		r.Report.InFlight, validInFlight = parseFloat(parts[5])
		r.ReportAge, validHeard = f.parseMilliseconds(parts[6])
		validLoad = validUtil && validInFlight && validHeard
	}
	r.Replica, known = c.replica(parts[0])
	return r, known, r.Attempts > 0 && validTries && validDropped && validTook && validLoad
}

// splitRecord splits a record at its colons into the buffer and reports whether it has a valid number of parts.
func splitRecord(text []byte, buffer *[recordPartsOfLoad][]byte) (parts [][]byte, valid bool) {
	count := 0
	for more := true; more; count++ {
		if count == len(buffer) {
			return nil, false
		}
		buffer[count], text, more = bytes.Cut(text, colon)
	}
	return buffer[:count], count == recordParts || count == recordPartsOfLoad
}

// parseMilliseconds reads milliseconds and reports whether they are a number within maxReportedTime.
func (f *fields) parseMilliseconds(text []byte) (time.Duration, bool) {
	number, isNumber := parseFloat(text)
	d, within := f.milliseconds(number)
	return d, isNumber && within
}
