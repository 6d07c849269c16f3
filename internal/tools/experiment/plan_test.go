package experiment

import (
	"strings"
	"testing"
)

// smallPlan is a fast plan whose first two variants are identical.
const smallPlan = `
name = "x"
seeds = 3
[fleet]
proxies = 10
replicas = 5
length = "8s"
[[scenario]]
name = "calm"
[[scenario]]
name = "hang"
[[scenario.trouble]]
kind = "hang"
at = "2s"
for = "3s"
share = 0.2
[[variant]]
name = "zincloft"
[[variant]]
name = "again"
[[variant]]
name = "even"
decider = "even"
`

func mustParse(t *testing.T, text string) Plan {
	t.Helper()
	p, err := ParsePlan([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// TestInvalidPlans checks that errors name the key, and the line if the text cannot be decoded.
func TestInvalidPlans(t *testing.T) {
	for _, test := range []struct{ old, new, want string }{
		{"seeds = 3", "seeds = \"3\"", "line 3"},
		{"proxies = 10", "proxys = 10", "line 5: unknown key fleet.proxys"},
		{"length = \"8s\"", "length = \"8\"", "line 7"},
		{"proxies = 10", "proxies = -1", "fleet: proxies: want more than 0"},
		{"kind = \"hang\"", "kind = \"hung\"", "scenario hang: trouble 1: kind: unknown kind \"hung\""},
		{"share = 0.2", "share = 2.0", "share: want 0 to 1"},
		{"decider = \"even\"", "decider = \"odd\"", "variant even: decider"},
		{"name = \"calm\"", "", "scenario 1: name is missing"},
	} {
		if _, err := ParsePlan([]byte(strings.Replace(smallPlan, test.old, test.new, 1))); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: %v, want %s", test.new, err, test.want)
		}
	}
}
