package program

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

func TestLogEvent(t *testing.T) {
	var out bytes.Buffer
	LogEvent(NewLogger(&out, "gateway"), true, "member_lost", func(yield func(string, any) bool) {
		_ = yield("member", "m-1") && yield("reason", "timed out") && yield("zone", "") && yield("silence", 1500*time.Millisecond)
	})
	line := out.String()
	for _, field := range []string{"time=", " level=warn ", " program=gateway ", " event=member_lost ", " member=m-1 ", ` reason="timed out" `, ` zone="" `, " silence="} {
		if !strings.Contains(line, field) {
			t.Errorf("%q is missing in %q", field, line)
		}
	}
	if strings.Count(line, "\n") != 1 || !strings.HasSuffix(line, "\n") {
		t.Errorf("%q is not one line", line)
	}
}
