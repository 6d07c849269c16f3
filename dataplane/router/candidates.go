package router

import "slices"

// MemberCandidates returns the addresses of control-plane members in the order in which they should be contacted: members in
// the gateway's zone first, then all others and the additional addresses in random order.
func (r *Router) MemberCandidates(additional []string) []string {
	var local, remote []string
	for _, member := range r.members {
		if member.Zone == r.settings.Zone {
			local = append(local, member.Addr)
		} else {
			remote = append(remote, member.Addr)
		}
	}
	for _, addr := range additional {
		if !slices.Contains(local, addr) && !slices.Contains(remote, addr) {
			remote = append(remote, addr)
		}
	}
	for i := range remote {
		j := i + int(r.random()*float64(len(remote)-i))
		remote[i], remote[j] = remote[j], remote[i]
	}
	return append(local, remote...)
}
