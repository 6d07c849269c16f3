// Package nodesettings reads and checks the settings file that gives a process of the gateway its name, its place and its limits.
//
// The file is YAML. It is turned into JSON and then read by gjson paths, so that each error names the path at fault.
// Unknown keys are skipped.
package nodesettings

import (
	"net/netip"
	"time"
)

// PathEnvVar is the environment variable that holds the settings file's path.
const PathEnvVar = "ZINCLOFT_NODE_FILE"

// Settings are what one process is configured with.
type Settings struct {
	Name                    string
	Role                    string
	MachineClass            string
	Serves                  []string // traffic kinds, as the file names them
	IP                      netip.Addr
	Zone                    string
	Region                  string
	CountsForFaultTolerance bool   // this machine counts in FaultTolerance.Machines
	FirstStart              bool   // the control plane has never run before, so its members may begin with empty disks
	DataDir                 string // empty: no disk

	MemoryMB        int64
	FileDescriptors int64
	LinkMbps        float64
	CPUCores        float64 // this process's part of the machine's cores

	FrontAddress      string // empty where the role serves no clients
	ReadinessAddress  string // empty where the role serves no clients
	ControlAddress    string // empty where the role serves no replicas and operators
	FirstInternalPort int
	LastInternalPort  int
	Seeds             []netip.AddrPort
	ZoneRegions       map[string]string // region of each zone

	// ForwardedAddresses are addresses that are reached at others, as behind port forwarding: the address to dial by the one that
	// its owner tells. They are this project's own addition to the file.
	ForwardedAddresses map[string]string

	HeartbeatInterval time.Duration // between two heartbeats of a replica
	FaultTolerance    FaultTolerance
	ActiveContracts   []string // parts of the rules that are in force
	Bounds            Bounds

	Metrics MetricsEndpoint // of the command line, not of the file
}

// SeedPeerAddresses lists where the seeds listen for other processes of the gateway: at their IP addresses, on the first
// internal port.
func (s *Settings) SeedPeerAddresses() []string {
	var addresses []string
	for _, seed := range s.Seeds {
		addresses = append(addresses, netip.AddrPortFrom(seed.Addr(), uint16(s.FirstInternalPort)).String())
	}
	return addresses
}

// DialAddress returns the address at which to dial the one that its owner tells.
func (s *Settings) DialAddress(address string) string {
	if forwarded, ok := s.ForwardedAddresses[address]; ok {
		return forwarded
	}
	return address
}

// FaultTolerance is what may be lost at once with all rules kept: counted machines, or zones, or regions.
type FaultTolerance struct{ Machines, Zones, Regions int }

// Bounds are the figures of the rules that decisions depend on.
type Bounds struct {
	AddressReuseDelay  time.Duration // from a replica's end until its address may be another's
	AckDeadline        time.Duration // for the acknowledgement of an operator's command
	DrainDeadline      time.Duration // from the acknowledgement of a drain until nothing more is sent to the replica
	GracePeriod        time.Duration // between SIGTERM and SIGKILL
	ConfigDeadline     time.Duration // until a configuration is in force everywhere
	EvacuationDeadline time.Duration // until an evacuated zone gets nothing more
	CatchUpTime        time.Duration // for which a machine that came back still counts as lost
	RetryBudgetRatio   float64       // retries for each request
	RetryBudgetWindow  time.Duration
	RetryBudgetSlack   float64 // retries beyond the ratio, in a window, over all gateways
	WarmupOverage      float64 // times cold_per_s that a replica that is warming up may be sent in a second
	WarmupSlack        float64 // requests beyond WarmupOverage
}
