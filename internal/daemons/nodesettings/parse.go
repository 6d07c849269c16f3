package nodesettings

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml"
	"github.com/tidwall/gjson"
)

// Tables of the settings file.
const (
	selfTable     = "self_settings."
	networkTable  = "network_settings."
	platformTable = "platform_settings."
	rulesTable    = "rule_terms."
	boundsTable   = rulesTable + "bounds."
)

// maxPort is the largest port number.
const maxPort = 65535

// Parse reads settings. Where a value is wrong the error is, or wraps, a FieldError of the first one.
func Parse(raw []byte) (*Settings, error) {
	document, err := yaml.YAMLToJSON(raw)
	if err != nil {
		return nil, merry.Errorf("settings: not YAML: %w", err)
	}
	r := &fieldReader{document: gjson.ParseBytes(document)}
	if !r.document.IsObject() {
		return nil, merry.New("settings: the file holds no tables")
	}
	settings := &Settings{}
	r.readSelf(settings)
	r.readAddresses(settings)
	r.readRules(settings)
	settings.Serves = r.textList(selfTable + "serves")
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
	s.Name = r.requiredText(selfTable + "node_name")
	s.Role = r.text(selfTable + "role")
	s.MachineClass = r.text(selfTable + "machine_class")
	s.Zone = r.requiredText(selfTable + "zone")
	s.Region = r.text(selfTable + "region")
	s.CountsForFaultTolerance = r.boolean(selfTable + "counted")
	s.FirstStart = r.boolean(selfTable + "first_start")
	s.DataDir = r.text(selfTable + "data_directory")
	s.MemoryMB = int64(r.number(selfTable+"limits.memory_mb", 16, 256))
	s.FileDescriptors = int64(r.number(selfTable+"limits.file_descriptors", 64, 1024))
	s.LinkMbps = r.number(selfTable+"limits.link_mbps", 0.01, 100)
	s.CPUCores = r.number(selfTable+"limits.cpu_share", 0.001, 1) * r.number(selfTable+"limits.cpu_cores", 0.001, 1)
}

func (r *fieldReader) readAddresses(s *Settings) {
	s.FrontAddress = r.address(networkTable + "listen_addresses.front")
	s.ReadinessAddress = r.address(networkTable + "listen_addresses.readiness")
	s.ControlAddress = r.address(networkTable + "listen_addresses.control")
}

func (r *fieldReader) readRules(s *Settings) {
	s.HeartbeatInterval = r.positiveDuration(platformTable+"heartbeat_interval", 1500*time.Millisecond)
	s.FaultTolerance = FaultTolerance{
		Machines: r.count(rulesTable+"fault_tolerance.machines", 1),
		Zones:    r.count(rulesTable+"fault_tolerance.zones", 0),
		Regions:  r.count(rulesTable+"fault_tolerance.regions", 0),
	}
	s.ActiveContracts = r.textList(rulesTable + "active_contracts")
}

func (r *fieldReader) ip() netip.Addr {
	path := selfTable + "ip_address"
	ip, err := netip.ParseAddr(r.requiredText(path))
	if err != nil {
		r.fail(path, "is not an IP address")
	}
	return ip
}

func (r *fieldReader) internalPorts() (first, last int) {
	path := networkTable + "internal_port_range"
	ports := r.document.Get(path).Array()
	if len(ports) != 2 || ports[0].Int() < 1 || ports[1].Int() > maxPort || ports[1].Int()-ports[0].Int() < 1 {
		r.fail(path, "is not a first and a last port, two at least")
		return 0, 0
	}
	return int(ports[0].Int()), int(ports[1].Int())
}

func (r *fieldReader) seeds() []netip.AddrPort {
	path := networkTable + "seed_nodes"
	var seeds []netip.AddrPort
	for i, value := range r.document.Get(path).Array() {
		seed, err := netip.ParseAddrPort(value.String())
		if err != nil {
			r.fail(path+"."+strconv.Itoa(i), "is not an address with a port")
			continue
		}
		seeds = append(seeds, seed)
	}
	if len(seeds) == 0 {
		r.fail(path, "names nobody")
	}
	return seeds
}

func (r *fieldReader) zoneRegions() map[string]string {
	regions := map[string]string{}
	for zone, region := range r.document.Get(networkTable + "zones").Map() {
		regions[zone] = region.String()
	}
	return regions
}

func (r *fieldReader) forwardedAddresses() map[string]string {
	path := networkTable + "forwarded_addresses"
	forwarded := map[string]string{}
	for address, value := range r.document.Get(path).Map() {
		_, addressErr := netip.ParseAddrPort(address)
		_, valueErr := netip.ParseAddrPort(value.String())
		if addressErr != nil || valueErr != nil {
			r.fail(path+"."+address, "is not an address with a port by another")
		}
		forwarded[address] = value.String()
	}
	return forwarded
}

func (r *fieldReader) bounds() Bounds {
	return Bounds{
		AddressReuseDelay:  r.duration(boundsTable+"address_reuse", 0, 2*time.Second),
		AckDeadline:        r.positiveDuration(boundsTable+"ack_deadline", 5*time.Second),
		DrainDeadline:      r.positiveDuration(boundsTable+"drain_deadline", 2*time.Second),
		GracePeriod:        r.positiveDuration(boundsTable+"grace_period", 6*time.Second),
		ConfigDeadline:     r.positiveDuration(boundsTable+"config_deadline", 2*time.Second),
		EvacuationDeadline: r.positiveDuration(boundsTable+"evacuation", 5*time.Second),
		CatchUpTime:        r.positiveDuration(boundsTable+"catch_up", 4*time.Second),
		RetryBudgetRatio:   r.number(boundsTable+"retry_budget_ratio", 0, 0.2),
		RetryBudgetWindow:  r.positiveDuration(boundsTable+"budget_window", 10*time.Second),
		RetryBudgetSlack:   r.number(boundsTable+"retry_budget_slack", 0, 10),
		WarmupOverage:      r.number(boundsTable+"cold_overage", 1, 1.5),
		WarmupSlack:        r.number(boundsTable+"cold_slack", 0, 5),
	}
}
