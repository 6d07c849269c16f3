package demo

import (
	"io"
	"testing"

	"zincloft.example/zincloft/internal/standin/hostile"
)

// Guards the demo with hostile replicas: it comes up, and no client hears another's answer.
func TestHostileDemo(t *testing.T) {
	g, err := StartWithFaults(t.TempDir(), io.Discard, 6, FaultInjection{Rate: 0.2, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer g.Stop()
	heard := 0
	for i := range 40 {
		for _, x := range hostile.NewClient(g.FrontAddresses[i%2], "127.0.0.1", "demo", uint64(i)).RunConnection() {
			if heard++; x.Violation != "" {
				t.Error(x.Violation)
			}
		}
	}
	if heard < 100 {
		t.Errorf("%d answers", heard)
	}
}
