package router

import "slices"

// MemberCandidates returns the addresses of control-plane members to call, best first: those of the own zone, then all others in
// random order, also those that the caller knows of besides.
func (r *Router) MemberCandidates(also []string) []string {
	var local, remote []string
	for _, member := range r.members {
		if member.Zone == r.settings.Zone {
			local = append(local, member.Addr)
		} else {
			remote = append(remote, member.Addr)
		}
	}
	for _, addr := range also {
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
