package nodesettings

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml"
	"github.com/tidwall/gjson"
)

// Path prefixes of the sections of the settings file.
const (
	selfSection     = "self_settings."
	networkSection  = "network_settings."
	platformSection = "platform_settings."
	rulesSection    = "rule_terms."
	boundsSection   = rulesSection + "bounds."
)

const maxPort = 65535

// Parse parses and validates settings. If a value is invalid, the error is a *FieldError for the first invalid value.
func Parse(raw []byte) (*Settings, error) {
	document, err := yaml.YAMLToJSON(raw)
	if err != nil {
		return nil, merry.Errorf("settings: must be valid YAML: %w", err)
	}
	r := &fieldReader{document: gjson.ParseBytes(document)}
	if !r.document.IsObject() {
		return nil, merry.New("settings: must be a YAML mapping")
	}
	settings := &Settings{}
	r.readSelf(settings)
	r.readAddresses(settings)
	r.readRules(settings)
	settings.Serves = r.stringList(selfSection + "serves")
	settings.IP = r.ip()
	settings.FirstInternalPort, settings.LastInternalPort = r.internalPorts()
	settings.Seeds = r.seeds()
	settings.ZoneRegions = r.zoneRegions()
	settings.ForwardedAddresses = r.forwardedAddresses()
	settings.Bounds = r.bounds()
	if r.err != nil {
		return nil, r.err
	}
	return settings, nil
}

func (r *fieldReader) readSelf(s *Settings) {
	s.Name = r.requiredString(selfSection + "node_name")
	s.Role = r.optionalString(selfSection + "role")
	s.MachineClass = r.optionalString(selfSection + "machine_class")
	s.Zone = r.requiredString(selfSection + "zone")
	s.Region = r.optionalString(selfSection + "region")
	s.CountsForFaultTolerance = r.boolean(selfSection + "counted")
	s.FirstStart = r.boolean(selfSection + "first_start")
	s.DataDir = r.optionalString(selfSection + "data_directory")
	s.MemoryMB = int64(r.number(selfSection+"limits.memory_mb", 16, 256))
	s.FileDescriptors = int64(r.number(selfSection+"limits.file_descriptors", 64, 1024))
	s.LinkMbps = r.number(selfSection+"limits.link_mbps", 0.01, 100)
	s.CPUCores = r.number(selfSection+"limits.cpu_share", 0.001, 1) * r.number(selfSection+"limits.cpu_cores", 0.001, 1)
}

func (r *fieldReader) readAddresses(s *Settings) {
	s.FrontAddress = r.addressWithPort(networkSection + "listen_addresses.front")
	s.ReadinessAddress = r.addressWithPort(networkSection + "listen_addresses.readiness")
	s.ControlAddress = r.addressWithPort(networkSection + "listen_addresses.control")
}

func (r *fieldReader) readRules(s *Settings) {
	s.HeartbeatInterval = r.positiveDuration(platformSection+"heartbeat_interval", 1500*time.Millisecond)
	s.FaultTolerance = FaultTolerance{
		Machines: r.nonNegativeInt(rulesSection+"fault_tolerance.machines", 1),
		Zones:    r.nonNegativeInt(rulesSection+"fault_tolerance.zones", 0),
		Regions:  r.nonNegativeInt(rulesSection+"fault_tolerance.regions", 0),
	}
	s.ActiveContracts = r.stringList(rulesSection + "active_contracts")
}

func (r *fieldReader) ip() netip.Addr {
	path := selfSection + "ip_address"
	ip, err := netip.ParseAddr(r.requiredString(path))
	if err != nil {
		r.fail(path, "must be an IP address")
	}
	return ip
}

func (r *fieldReader) internalPorts() (first, last int) {
	path := networkSection + "internal_port_range"
	ports := r.document.Get(path).Array()
	if len(ports) != 2 || ports[0].Int() < 1 || ports[1].Int() > maxPort || ports[1].Int()-ports[0].Int() < 1 {
		r.fail(path, "must be an array of two ports, the first less than the last")
		return 0, 0
	}
	return int(ports[0].Int()), int(ports[1].Int())
}

func (r *fieldReader) seeds() []netip.AddrPort {
	path := networkSection + "seed_nodes"
	var seeds []netip.AddrPort
	for i, value := range r.document.Get(path).Array() {
		seed, err := netip.ParseAddrPort(value.String())
		if err != nil {
			r.fail(path+"."+strconv.Itoa(i), "must be an IP address with a port")
			continue
		}
		seeds = append(seeds, seed)
	}
	if len(seeds) == 0 {
		r.fail(path, "must not be empty")
	}
	return seeds
}

func (r *fieldReader) zoneRegions() map[string]string {
	regions := map[string]string{}
	for zone, region := range r.document.Get(networkSection + "zones").Map() {
		regions[zone] = region.String()
	}
	return regions
}

func (r *fieldReader) forwardedAddresses() map[string]string {
	path := networkSection + "forwarded_addresses"
	forwarded := map[string]string{}
	for address, value := range r.document.Get(path).Map() {
		_, addressErr := netip.ParseAddrPort(address)
		_, valueErr := netip.ParseAddrPort(value.String())
		if addressErr != nil || valueErr != nil {
			r.fail(path+"."+address, "the key and the value must be IP addresses with ports")
		}
		forwarded[address] = value.String()
	}
	return forwarded
}

func (r *fieldReader) bounds() Bounds {
	return Bounds{
		AddressReuseDelay:  r.nonNegativeDuration(boundsSection+"address_reuse", 2*time.Second),
		AckDeadline:        r.positiveDuration(boundsSection+"ack_deadline", 5*time.Second),
		DrainDeadline:      r.positiveDuration(boundsSection+"drain_deadline", 2*time.Second),
		GracePeriod:        r.positiveDuration(boundsSection+"grace_period", 6*time.Second),
		ConfigDeadline:     r.positiveDuration(boundsSection+"config_deadline", 2*time.Second),
		EvacuationDeadline: r.positiveDuration(boundsSection+"evacuation", 5*time.Second),
		CatchUpTime:        r.positiveDuration(boundsSection+"catch_up", 4*time.Second),
		RetryBudgetRatio:   r.number(boundsSection+"retry_budget_ratio", 0, 0.2),
		RetryBudgetWindow:  r.positiveDuration(boundsSection+"budget_window", 10*time.Second),
		RetryBudgetSlack:   r.number(boundsSection+"retry_budget_slack", 0, 10),
		WarmupOverage:      r.number(boundsSection+"cold_overage", 1, 1.5),
		WarmupSlack:        r.number(boundsSection+"cold_slack", 0, 5),
		MaxLeaseDuration:   r.positiveDuration(boundsSection+"max_hold", 10*time.Second),
		ThawSlack:          r.nonNegativeDuration(boundsSection+"thaw_slack", 0),
	}
}
