package clients

import (
	"bytes"
	"math"
	"time"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/rules"
)

// decodeBatch decodes a proxy's statistics for each replica (docs/reports.md). A record for an unknown replica is skipped and
// counted, because the replica may just have been removed; any other error makes the whole batch invalid.
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
	recordParts         = 4 // replica:attempts:dropped:mean latency in ms
	recordPartsWithLoad = 7 // followed by a load report, :util:inflight:age in ms
)

// decodeRecord decodes one record of a batch and reports whether its replica is known and whether the record is valid.
func (c *codec) decodeRecord(f *fields, text []byte) (r intake.Record, known, valid bool) {
	var buffer [recordPartsWithLoad][]byte
	parts, ok := splitRecord(text, &buffer)
	if !ok {
		return r, false, false
	}
	var validAttempts, validDropped, validLatency bool
	r.Report = noReport
	r.Attempts, validAttempts = parseInteger(parts[1], math.MaxInt32)
	r.Dropped, validDropped = parseInteger(parts[2], r.Attempts)
	r.MeanLatency, validLatency = f.parseMilliseconds(parts[3])
	validLoad := true
	if len(parts) == recordPartsWithLoad {
		var validUtil, validInFlight, validAge bool
		r.Report.Utilization, validUtil = parseFloat(parts[4])
		r.Report.InFlight, validInFlight = parseFloat(parts[5])
		r.ReportAge, validAge = f.parseMilliseconds(parts[6])
		validLoad = validUtil && validInFlight && validAge
	}
	r.Replica, known = c.replica(parts[0])
	return r, known, r.Attempts > 0 && validAttempts && validDropped && validLatency && validLoad
}

// splitRecord splits a record at colons into buffer and reports whether the number of parts is valid.
func splitRecord(text []byte, buffer *[recordPartsWithLoad][]byte) (parts [][]byte, valid bool) {
	count := 0
	for more := true; more; count++ {
		if count == len(buffer) {
			return nil, false
		}
		buffer[count], text, more = bytes.Cut(text, colon)
	}
	return buffer[:count], count == recordParts || count == recordPartsWithLoad
}

// parseMilliseconds parses a number of milliseconds and reports whether it is valid and within maxReportedTime.
func (f *fields) parseMilliseconds(text []byte) (time.Duration, bool) {
	number, isNumber := parseFloat(text)
	d, within := f.milliseconds(number)
	return d, isNumber && within
}
