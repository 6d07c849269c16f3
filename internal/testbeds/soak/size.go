package soak

import "time"

// Size is the number of processes and sharded replicas of a run. A field that is 0 has its default.
type Size struct {
	Members       int `json:"members"`
	Gateways      int `json:"gateways"`
	ShardReplicas int `json:"shard_replicas"`
}

const (
	defaultMembers        = 3
	defaultGateways       = 4
	defaultShardReplicas  = 7
	minDescriptors        = 512
	descriptorsPerReplica = 30
	fullRateGateways      = 8 // up to which clients send at their full rate

	// spareShardAddresses are available to replicas that start while those that leave still serve. Addresses are reused after that.
	spareShardAddresses = 24
)

func (s Size) orDefault() Size {
	if s.Members == 0 {
		s.Members = defaultMembers
	}
	if s.Gateways == 0 {
		s.Gateways = defaultGateways
	}
	if s.ShardReplicas == 0 {
		s.ShardReplicas = defaultShardReplicas
	}
	return s
}

// shardAddresses returns how many addresses are prepared for sharded replicas.
func (s Size) shardAddresses() int { return s.ShardReplicas + spareShardAddresses }

// descriptors returns the file descriptor limit of each daemon. It is low so that connection exhaustion faults reach it, but a member must be able
// to hold two connections to each sharded replica with the tenth of its descriptors that it uses for them.
func (s Size) descriptors() int { return max(minDescriptors, descriptorsPerReplica*s.ShardReplicas) }

// startupTimeout returns how long all gateways may take until they are ready for the first time.
func (s Size) startupTimeout() time.Duration {
	additional := max(s.Members+s.Gateways-defaultMembers-defaultGateways, 0)
	return startupTimeout + time.Duration(additional)*startupPerDaemon
}

// requestPause returns the mean pause of a client between two requests. With many gateways it is longer, so that one machine bears the load.
func (s Size) requestPause() time.Duration {
	return requestPause * time.Duration(max(s.Gateways, fullRateGateways)) / fullRateGateways
}

// zoneAt returns the zone of the process or replica with an index.
func zoneAt(index int) string { return string("abc"[index%len("abc")]) }
