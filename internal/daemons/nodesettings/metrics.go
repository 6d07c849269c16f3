package nodesettings

import (
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// ErrInvalidMetricsEndpoint says that a text is not PORT/PATH.
var ErrInvalidMetricsEndpoint = merry.Sentinel("metrics: is not PORT/PATH, such as 9464/metrics")

// MetricsEndpoint is where a process serves its own figures: a port of its address, and a path. The zero value is nowhere.
type MetricsEndpoint struct {
	Port uint16
	Path string // begins with a slash
}

// ParseMetricsEndpoint reads PORT/PATH; an empty text is nowhere. The error is ErrInvalidMetricsEndpoint.
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

// IsDisabled tells whether no figures are served.
func (e MetricsEndpoint) IsDisabled() bool { return e.Port == 0 }
