package nodesettings

import (
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// ErrInvalidMetricsEndpoint means that a metrics endpoint is not of the form PORT/PATH.
var ErrInvalidMetricsEndpoint = merry.Sentinel("metrics: must be PORT/PATH, such as 9464/metrics")

// MetricsEndpoint is the port and path at which a process serves its metrics. The zero value disables metrics.
type MetricsEndpoint struct {
	Port uint16
	Path string // starts with a slash
}

// ParseMetricsEndpoint parses an endpoint of the form PORT/PATH. An empty string disables metrics. The only error is
// ErrInvalidMetricsEndpoint.
func ParseMetricsEndpoint(text string) (MetricsEndpoint, error) {
	if text == "" {
		return MetricsEndpoint{}, nil
	}
	port, path, ok := strings.Cut(text, "/")
	number, err := strconv.ParseUint(port, 10, 16)
	if !ok || err != nil || number == 0 || path == "" {
		return MetricsEndpoint{}, ErrInvalidMetricsEndpoint
	}
	return MetricsEndpoint{Port: uint16(number), Path: "/" + path}, nil
}

// IsDisabled reports whether metrics are disabled.
func (e MetricsEndpoint) IsDisabled() bool { return e.Port == 0 }
