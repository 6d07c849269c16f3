package upstream

// Heartbeat is the body of the control call instances.heartbeat.
type Heartbeat struct {
	Address       string `json:"address"`
	ColdRemaining string `json:"cold_remaining"` // a duration
	Sequence      uint64 `json:"sequence"`
	Service       string `json:"service"`
	Slots         int    `json:"slots"`
	State         string `json:"state"`
	Version       string `json:"version"`
	Zone          string `json:"zone"`
}

// NewHeartbeat returns the heartbeat of a replica that is ready and has completed its warm-up.
func NewHeartbeat(service, address, zone string, slots int, sequence uint64) Heartbeat {
	return Heartbeat{
		Address:       address,
		ColdRemaining: "0ms",
		Sequence:      sequence,
		Service:       service,
		Slots:         slots,
		State:         "ready",
		Version:       "v1",
		Zone:          zone,
	}
}
