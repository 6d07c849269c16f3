package clients

import (
	"time"

	"zincloft.example/zincloft/internal/governor/config"
	"zincloft.example/zincloft/internal/governor/eventqueue"
	"zincloft.example/zincloft/rules"
)

// codec decodes and encodes messages. It knows the site's names. The keywords of the protocol stand in its files only.
type codec struct {
	zones, groups       []string
	proxies             int
	maxReportedTime     time.Duration // that a message may report
	acceptsBatches      bool          // of single proxies are accepted
	ordersPairEjections bool          // governors of this fleet order pair ejections, so a proxy that joins may have some
	replica             func([]byte) (rules.ReplicaID, bool)
	name                func(rules.ReplicaID) (string, bool)
}

func newCodec(conf config.Config, names eventqueue.ReplicaNames) codec {
	c := codec{
		zones:               conf.Settings.Zones,
		proxies:             conf.Settings.Proxies,
		maxReportedTime:     conf.Bounds.MaxReportedTime,
		acceptsBatches:      conf.Operator.Intake.Enabled(),
		ordersPairEjections: conf.Operator.Intake.ReportsMode == config.ReportsPairs,
		replica:             names.ID,
		name:                names.Name,
	}
	for _, group := range conf.Settings.Groups {
		c.groups = append(c.groups, group.Name)
	}
	return c
}
