package demo

import (
	"io"
	"testing"

	"zincloft.example/zincloft/internal/testbeds/standin/hostile"
)

// TestFaultInjection checks that the demo starts with faulty replicas and that no client receives the response to another client's
// request.
func TestFaultInjection(t *testing.T) {
	cluster, err := StartWithFaults(t.TempDir(), io.Discard, 6, FaultInjection{Rate: 0.2, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := cluster.Stop(); err != nil {
			t.Error(err)
		}
	}()
	responses := 0
	for i := range 40 {
		client := hostile.NewClient(cluster.FrontAddresses[i%2], "127.0.0.1", "demo", uint64(i))
		for _, response := range client.RunConnection() {
			responses++
			if response.Violation != "" {
				t.Error(response.Violation)
			}
		}
	}
	if responses < 100 {
		t.Errorf("%d responses", responses)
	}
}
