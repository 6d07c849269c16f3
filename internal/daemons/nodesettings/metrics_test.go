package nodesettings

import (
	"errors"
	"testing"
)

func TestParseMetricsEndpoint(t *testing.T) {
	for text, want := range map[string]MetricsEndpoint{"": {}, "9464/metrics": {9464, "/metrics"}, "1/a/b": {1, "/a/b"}} {
		if got, err := ParseMetricsEndpoint(text); err != nil || got != want {
			t.Errorf("%q: got %+v, %v, want %+v", text, got, err, want)
		}
	}
	for _, text := range []string{"9464", "9464/", "/metrics", "0/metrics", "65536/metrics", "a/metrics", ":9464/metrics"} {
		if _, err := ParseMetricsEndpoint(text); !errors.Is(err, ErrInvalidMetricsEndpoint) {
			t.Errorf("%q: got error %v, want ErrInvalidMetricsEndpoint", text, err)
		}
	}
}
