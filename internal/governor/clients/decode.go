package clients

import (
	"bytes"
	"math"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/internal/governor/config"
	"zincloft.example/zincloft/internal/governor/resp"
	"zincloft.example/zincloft/rules"
)

// Decoded messages other than events of package rules and batches.
type (
	// heartbeat requires an answer.
	heartbeat struct{}
	// collectorJoin identifies the connection as that of a zone's collector.
	collectorJoin struct{ zone rules.ZoneID }
	// invalidMessage is a well-framed message that cannot be used.
	invalidMessage struct {
		cause             string // one of a fixed set, without text of the peer
		isAcknowledgement bool
	}
)

var (
	heartbeatAnswer   = resp.Append(nil, "hb_ok")
	unexpectedMessage = invalidMessage{cause: "out of place"}
	queueFull         = invalidMessage{cause: "no room for reports"}
)

// decode returns the typed value of a message: an event of package rules, a batch, a heartbeat or a collectorJoin. It returns
// an invalidMessage if a required field is missing or a field is out of range or names something unknown.
func (c *codec) decode(elements [][]byte) any {
	if len(elements)%2 == 0 {
		return invalidMessage{cause: "words without a pair"}
	}
	kind := string(elements[0])
	f := fields{pairs: elements[1:], maxReportedTime: c.maxReportedTime}
	message := c.decodeKind(kind, &f)
	if message == nil {
		return invalidMessage{cause: "unknown kind"}
	}
	if f.invalid == "" {
		return message
	}
	if batch, isBatch := message.(*intake.Batch); isBatch {
		batch.Free()
	}
	return invalidMessage{cause: kind + " " + f.invalid, isAcknowledgement: kind == "done"}
}

// decodeKind decodes the fields of a message of the given kind. It returns nil for an unknown kind.
func (c *codec) decodeKind(kind string, f *fields) any {
	switch kind {
	case "hb":
		return heartbeat{}
	case "telemetry":
		return collectorJoin{rules.ZoneID(f.index("az", c.zones))}
	case "attach":
		return c.decodeJoin(f)
	case "done":
		f.require("sidecar", "version", "lag_ms")
		return rules.Applied{
			Proxy:   c.proxy(f),
			Version: uint16(f.integer("version", math.MaxUint16)),
			Delay:   f.duration("lag_ms"),
		}
	case "upstream_stats":
		return c.decodeEndpointStats(f)
	case "client_stats":
		return c.decodeGroupTraffic(f)
	case "met":
		if c.acceptsBatches {
			return c.decodeBatch(f)
		}
	}
	return nil
}

func (c *codec) decodeJoin(f *fields) rules.Joined {
	f.require("sidecar")
	fresh := f.integer("standing", 1) == 1
	return rules.Joined{
		Proxy:            c.proxy(f),
		Zone:             rules.ZoneID(f.index("az", c.zones)),
		FlowRate:         f.float("share"),
		Fresh:            fresh,
		MayHoldEjections: !fresh && c.ordersPairEjections,
	}
}

// decodeEndpointStats decodes the statistics of a zone's proxies for one replica.
func (c *codec) decodeEndpointStats(f *fields) rules.EndpointStats {
	f.require("host", "n", "bad", "window")
	zone := f.index("az", c.zones)
	host, _ := f.value("host")
	replica, known := c.replica(host)
	if !known {
		f.fail("host")
	}
	stats := rules.EndpointStats{
		Replica:     replica,
		Zone:        rules.ZoneID(zone),
		Window:      f.positiveDuration("window"),
		Report:      f.report("report"),
		MeanLatency: f.duration("avg"),
		Attempts:    f.integer("n", math.MaxInt32),
		Dropped:     f.integer("bad", math.MaxInt32),
	}
	if stats.Dropped > stats.Attempts {
		f.fail("bad")
	} else if stats.Dropped < stats.Attempts {
		f.require("avg")
	}
	return stats
}

// decodeGroupTraffic decodes the flows that a proxy has accepted and dropped. More may be dropped than accepted, because they
// may have been accepted in an earlier window.
func (c *codec) decodeGroupTraffic(f *fields) rules.GroupTraffic {
	f.require("sidecar", "n", "bad", "window")
	return rules.GroupTraffic{
		Proxy:   c.proxy(f),
		Group:   rules.GroupID(f.index("kind", c.groups)),
		Window:  f.positiveDuration("window"),
		Flows:   f.integer("n", math.MaxInt32),
		Dropped: f.integer("bad", math.MaxInt32),
	}
}

func (c *codec) proxy(f *fields) rules.ProxyID {
	return rules.ProxyID(f.integer("sidecar", c.proxies-1))
}

// report decodes a load report. Unknown metrics are ignored.
func (f *fields) report(name string) rules.LoadReport {
	r := noReport
	text, _ := f.value(name)
	for len(text) > 0 {
		var pair []byte
		pair, text, _ = bytes.Cut(text, comma)
		key, value, paired := bytes.Cut(pair, colon)
		if len(pair) == 0 {
			continue
		}
		v, ok := parseFloat(value)
		if !paired || !ok {
			f.fail(name)
		}
		config.SetLoadMetric(&r, key, v)
	}
	return r
}

var (
	comma, colon = []byte(","), []byte(":")
	noReport     = rules.LoadReport{Utilization: rules.Absent, InFlight: rules.Absent, ServiceTime: rules.Absent, Rate: rules.Absent}
)
