// Package nodesettings reads and validates the settings file of a gateway or control-plane process.
//
// The file is YAML. It is converted to JSON and read by gjson paths, which error messages contain. Unknown keys are ignored.
package nodesettings

import (
	"net/netip"
	"time"
)

// PathEnvVar is the environment variable that holds the path of the settings file.
const PathEnvVar = "ZINCLOFT_NODE_FILE"

// Settings is the configuration of one process.
type Settings struct {
	Name                    string
	Role                    string
	MachineClass            string
	Serves                  []string // kinds of traffic that the process serves
	IP                      netip.Addr
	Zone                    string
	Region                  string
	CountsForFaultTolerance bool   // whether the machine is one of those counted by FaultTolerance.Machines
	FirstStart              bool   // the control plane has never run before, so its members may start with empty disks
	DataDir                 string // empty if the process has no persistent state

	MemoryMB        int64
	FileDescriptors int64
	LinkMbps        float64
	CPUCores        float64 // this process's share of the machine's cores

	FrontAddress      string // listens for clients; empty if not served
	ReadinessAddress  string // listens for readiness probes; empty if not served
	ControlAddress    string // listens for replicas and operators; empty if not served
	FirstInternalPort int
	LastInternalPort  int
	Seeds             []netip.AddrPort
	ZoneRegions       map[string]string // regions by zone

	// ForwardedAddresses maps addresses that processes advertise to the addresses to dial instead, such as behind port forwarding.
	ForwardedAddresses map[string]string

	HeartbeatInterval time.Duration // between heartbeats of a replica
	FaultTolerance    FaultTolerance
	ActiveContracts   []string // names of the rule sets in force
	Bounds            Bounds

	Metrics MetricsEndpoint // set by the command line, not by the file
}

// SeedPeerAddresses returns the addresses on which the seeds listen for gateways and other members: their IP addresses with the
// first internal port.
func (s *Settings) SeedPeerAddresses() []string {
	var addresses []string
	for _, seed := range s.Seeds {
		addresses = append(addresses, netip.AddrPortFrom(seed.Addr(), uint16(s.FirstInternalPort)).String())
	}
	return addresses
}

// DialAddress returns the address to dial for an advertised address.
func (s *Settings) DialAddress(address string) string {
	if forwarded, ok := s.ForwardedAddresses[address]; ok {
		return forwarded
	}
	return address
}

// FaultTolerance is the number of machines, zones or regions that may fail at the same time without violating a rule.
type FaultTolerance struct{ Machines, Zones, Regions int }

// Bounds are the numeric limits of the rules.
type Bounds struct {
	AddressReuseDelay  time.Duration // from the end of a replica until its address may be reused by another
	AckDeadline        time.Duration // for acknowledging an operator's command
	DrainDeadline      time.Duration // from the acknowledgement of a drain until the replica receives no more requests
	GracePeriod        time.Duration // from SIGTERM until SIGKILL
	ConfigDeadline     time.Duration // until a configuration is in effect everywhere
	EvacuationDeadline time.Duration // until an evacuated zone receives no more requests
	CatchUpTime        time.Duration // during which a restarted machine still counts as failed
	RetryBudgetRatio   float64       // retries per request
	RetryBudgetWindow  time.Duration
	RetryBudgetSlack   float64 // retries per window in addition to RetryBudgetRatio, over all gateways
	WarmupOverage      float64 // maximum requests per second to a replica that is warming up, as a multiple of cold_per_s
	WarmupSlack        float64 // requests per second in addition to that maximum

	MaxLeaseDuration time.Duration // of a grant of shard keys to a replica
	ThawSlack        time.Duration // after a machine has resumed or a link has healed, during which delayed grants may arrive
}
