package grantclient

import (
	"testing"

	"zincloft.example/zincloft/controlplane/ownership"
)

// BenchmarkGrant measures a grant to a replica in the same process, whose part is included.
func BenchmarkGrant(b *testing.B) {
	delivered := make(chan struct{}, 1)
	replica := newReplica(b)
	client := newTestClient(b, func(config *Config) {
		config.Deliver = func([]ownership.CallResult) { delivered <- struct{}{} }
	})
	calls := []ownership.Call{grant(1, replica.address)}
	b.ReportAllocs()
	for b.Loop() {
		client.Start(calls)
		(<-replica.requests).answer(okResponse)
		<-delivered
	}
}
