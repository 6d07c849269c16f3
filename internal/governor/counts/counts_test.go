package counts

import (
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// TestLog checks that Log writes all categories and causes in one line and resets the counts.
func TestLog(t *testing.T) {
	var out strings.Builder
	log := zerolog.New(&out)
	var c Counter
	c.Log(log)
	c.Add("refused", "no room")
	c.Add("collectd", "unknown user")
	c.Add("refused", "no room")
	c.Log(log)
	c.Log(log)
	want := `{"level":"info","collectd":{"unknown user":1},"refused":{"no room":2},"message":"counts"}` + "\n"
	if out.String() != want {
		t.Errorf("logged %q, want %q", out.String(), want)
	}
}
