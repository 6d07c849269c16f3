package scalerun

import (
	"cmp"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// Row is one figure at one scale.
type Row struct {
	Scale              float64
	Role, Metric, Unit string
	Value              float64
}

// Roles of rows.
const (
	roleMember          = "member"
	roleGateway         = "gateway"
	roleRealGateway     = "real gateway"
	roleGatewayReceived = "gateway received"
	roleGatewaySent     = "gateway sent"
	roleReplica         = "replica"
	roleReplicaReceived = "replica received"
	roleReplicaSent     = "replica sent"
	roleConfiguration   = "configuration"
	roleAll             = "all"
	roleSynthetic       = "synthetic processes"
)

// earlierRoles and earlierMetrics are the names that files written before have for the present ones; earlierMetricPrefixes those of
// metrics that go on behind them.
var (
	earlierRoles = map[string]string{
		"comb":          roleMember,
		"forager":       roleGateway,
		"real forager":  roleRealGateway,
		"forager hears": roleGatewayReceived,
		"forager says":  roleGatewaySent,
		"replica hears": roleReplicaReceived,
		"replica says":  roleReplicaSent,
		"hollow":        roleSynthetic,
	}
	earlierMetrics = map[string]string{
		"read from combs":                      "read from members",
		"read from foragers":                   "read from gateways",
		"written to foragers":                  "written to gateways",
		"processor of combs and real foragers": "processor of members and real gateways",
		"changed lives":                        "changed instances",
		"changed lines":                        "changed weights",
		"whole lives":                          "full instances",
		"whole lines":                          "full weights",
		"grants":                               "warm-up quotas",
		"combs":                                "members",
		"word":                                 kindEvent,
		"beat":                                 "heartbeat",
		"beat answer":                          "heartbeat answer",
	}
	earlierMetricPrefixes = map[string]string{"comb killed: ": "member killed: "}
)

func currentRole(role string) string { return cmp.Or(earlierRoles[role], role) }

func currentMetric(metric string) string {
	for earlier, current := range earlierMetricPrefixes {
		if rest, ok := strings.CutPrefix(metric, earlier); ok {
			return current + rest
		}
	}
	return cmp.Or(earlierMetrics[metric], metric)
}

// seriesName is the name of a row's series.
func seriesName(role, metric string) string { return role + ": " + metric }

// currentSeriesName returns the present name of a series, which may be an earlier one.
func currentSeriesName(name string) string {
	role, metric, ok := strings.Cut(name, ": ")
	if !ok {
		return name
	}
	return seriesName(currentRole(role), currentMetric(metric))
}

// sumRows adds up the rows that differ in their values alone.
func sumRows(rows []Row) []Row {
	var sums []Row
	index := map[Row]int{}
	for _, row := range rows {
		key := row
		key.Value = 0
		if i, ok := index[key]; ok {
			sums[i].Value += row.Value
		} else {
			index[key] = len(sums)
			sums = append(sums, row)
		}
	}
	return sums
}

// csvHeader names the columns. They are kept as they are in files written before.
var csvHeader = []string{"part", "role", "what", "unit", "value"}

// ErrNotRows is wrapped by ReadCSV's errors on a file that WriteCSV has not written.
var ErrNotRows = errors.New("not a file of figures")

// WriteCSV writes rows below a header.
func WriteCSV(w io.Writer, rows []Row) error {
	out := csv.NewWriter(w)
	if err := out.Write(csvHeader); err != nil {
		return err
	}
	for _, row := range rows {
		scale, value := strconv.FormatFloat(row.Scale, 'g', -1, 64), strconv.FormatFloat(row.Value, 'g', 6, 64)
		if err := out.Write([]string{scale, row.Role, row.Metric, row.Unit, value}); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

// ReadCSV reads rows that WriteCSV has written, also those with earlier names of roles and metrics.
func ReadCSV(r io.Reader) ([]Row, error) {
	records, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return nil, err
	}
	if len(records) == 0 || !slices.Equal(records[0], csvHeader) {
		return nil, fmt.Errorf("%w: the header is missing", ErrNotRows)
	}
	var rows []Row
	for _, record := range records[1:] {
		scale, scaleErr := strconv.ParseFloat(record[0], 64)
		value, valueErr := strconv.ParseFloat(record[4], 64)
		if err := errors.Join(scaleErr, valueErr); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotRows, err)
		}
		rows = append(rows, Row{Scale: scale, Role: currentRole(record[1]), Metric: currentMetric(record[2]), Unit: record[3], Value: value})
	}
	return rows, nil
}

// GroupSeries orders rows into series over the scales, in the order in which they first stand.
func GroupSeries(rows []Row) []Series {
	type key struct{ name, unit string }
	var all []Series
	index := map[key]int{}
	for _, row := range rows {
		k := key{name: seriesName(row.Role, row.Metric), unit: row.Unit}
		i, ok := index[k]
		if !ok {
			i = len(all)
			index[k] = i
			all = append(all, Series{Name: k.name, Unit: k.unit})
		}
		all[i].X, all[i].Y = append(all[i].X, row.Scale), append(all[i].Y, row.Value)
	}
	return all
}
