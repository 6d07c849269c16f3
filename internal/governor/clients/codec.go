package clients

import (
	"time"

	"zincloft.example/zincloft/internal/governor/config"
	"zincloft.example/zincloft/internal/governor/eventqueue"
	"zincloft.example/zincloft/rules"
)

// codec decodes and encodes messages of the proxy protocol and translates between names and the numbers of package rules.
type codec struct {
	zones, groups       []string
	proxies             int
	maxReportedTime     time.Duration // longest duration accepted in a message
	acceptsBatches      bool          // batches of single proxies are accepted
	ordersPairEjections bool          // governors of this fleet order pair ejections, so a joining proxy may hold some
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
