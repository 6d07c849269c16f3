package demo

import "fmt"

// settingsTemplate is a daemon's settings file.
const settingsTemplate = `
self_settings: {node_name: %q, role: demo, zone: here, region: here, ip_address: 127.0.0.1, first_start: true, data_directory: %q,
  limits: {cpu_share: 16, memory_mb: 256, file_descriptors: 1024, link_mbps: 1000}}
network_settings:
  listen_addresses: {front: %q, readiness: %q, control: %q}
  internal_port_range: [%d, %d]
  seed_nodes: [%q]
  zones: {here: here}
platform_settings: {heartbeat_interval: 500ms}
rule_terms: {bounds: {grace_period: 1s}}
`

// configuration routes all paths of two virtual hosts to one service.
const configuration = `{"version":"00000001","services":[{"name":"hello","health_check_path":"/health","max_connections":100}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"},
"virtual_hosts":[{"hostname":"localhost","path_routes":[{"name":"hello","path_prefix":"/","kind":"safe","timeout":"5s","target_latency":"500ms","max_attempts":2,"service":"hello"}]},
{"hostname":"127.0.0.1","path_routes":[{"name":"order-ip","path_prefix":"/orders/","kind":"unsafe","timeout":"5s","target_latency":"500ms","max_attempts":2,"service":"hello"},{"name":"hello-ip","path_prefix":"/","kind":"safe","timeout":"5s","target_latency":"500ms","max_attempts":2,"service":"hello"}]}]}`

// nodeSettings are the settings that differ between daemons; fields that do not apply to a daemon are empty.
type nodeSettings struct {
	name, dataDirectory       string
	front, readiness, control string
}

func (c *Cluster) settings(node nodeSettings, internalPort int) []byte {
	return fmt.Appendf(nil, settingsTemplate, node.name, node.dataDirectory, node.front, node.readiness, node.control,
		internalPort, internalPort+internalPortRange, c.ControlAddress)
}
