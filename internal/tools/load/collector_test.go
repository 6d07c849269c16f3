package load

import (
	"strings"
	"testing"
)

// TestTakeReports checks that there is a report for each replica with attempts, that it has no latency if all attempts failed, and
// that the counters are reset.
func TestTakeReports(t *testing.T) {
	s := newTestProxy(1).site
	s.plan.FastReplicas = true
	s.zoneStats[0].attempts = []int{0, 20, 3, 0, 40, 0}
	s.zoneStats[0].failures = []int{0, 0, 3, 0, 1, 0}
	var texts []string
	for _, report := range s.takeReports(0) {
		texts = append(texts, strings.Join(strings.Split(string(report), "\r\n"), " "))
	}
	if len(texts) != 3 {
		t.Fatalf("%d reports: %v", len(texts), texts)
	}
	for i, want := range []string{"inflight:2,util:0.50", "bad $1 3 $6 window", "inflight:3,util:0.25"} {
		if !strings.Contains(texts[i], want) {
			t.Errorf("report %q lacks %q", texts[i], want)
		}
	}
	if strings.Contains(texts[1], "avg") {
		t.Errorf("report %q has a latency although all attempts failed", texts[1])
	}
	if again := s.takeReports(0); len(again) != 0 {
		t.Errorf("%d reports for a period without attempts", len(again))
	}
}
