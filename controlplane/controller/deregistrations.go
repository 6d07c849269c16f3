package controller

import (
	"slices"

	"zincloft.example/zincloft/controlplane/registry"
)

// EvidenceCount is the number of instances that a member has deregistered on one kind of evidence.
type EvidenceCount struct {
	Evidence registry.Evidence
	Count    uint64
}

// reportDeregistrations logs and counts the instances deregistered by the current event, and warns of services that have no instance
// left. Deregistrations merged from elsewhere are logged there.
func (c *Controller) reportDeregistrations() {
	var services []string
	for _, deregistered := range c.registry.TakeDeregistrations() {
		c.deregistrations[deregistered.Evidence]++
		if deregistered.Evidence != registry.EvidenceMerged {
			c.logInfo("instance_deregistered", "instance", deregistered.ID, "service", deregistered.Service,
				"evidence", string(deregistered.Evidence), "by", deregistered.By)
		}
		if deregistered.Service != "" && !slices.Contains(services, deregistered.Service) {
			services = append(services, deregistered.Service)
		}
	}
	for _, service := range services {
		if !c.registry.HasInstances(service) {
			c.logWarning("service_without_instances", "service", service)
		}
	}
}

// deregistrationCounts returns the counts of all kinds of evidence.
func (c *Controller) deregistrationCounts() []EvidenceCount {
	counts := make([]EvidenceCount, 0, len(registry.AllEvidence))
	for _, evidence := range registry.AllEvidence {
		counts = append(counts, EvidenceCount{evidence, c.deregistrations[evidence]})
	}
	return counts
}
