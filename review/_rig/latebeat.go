package main

import (
	"fmt"
	"time"
)

const (
	lateBeatRounds = 3
	beatDelay      = 600 * time.Millisecond // less than the second in which a beat is to be acknowledged
	evacuationTime = 4500 * time.Millisecond
)

// playLateBeat evacuates one zone after the other and takes the evacuation back. The zone's replicas turn cold shortly before that,
// just after they have sent a beat, which comes late: after the evacuation was taken back.
func playLateBeat(r *rig) error {
	operator, direct, err := r.startSmallSite(40 * time.Millisecond)
	if err != nil {
		return err
	}
	users := newClients(r.record)
	for _, gateway := range r.gateways {
		users.start(load{gateway: gateway, path: "/ledger/2f", method: "GET", perS: 30})
		users.start(load{gateway: gateway, path: "/order/2f", method: "POST", perS: 20})
	}
	time.Sleep(contact)
	broken := 0
	for round := range lateBeatRounds {
		highest, err := r.playLateBeatRound(round%len(zones), operator, direct)
		if err != nil {
			return err
		}
		r.record.write("round %d: a cold replica received up to %d requests in one second; the bound is %.2f", round+1, highest, coldBound)
		if float64(highest) > coldBound {
			broken++
		}
	}
	users.finish()
	if broken > 0 {
		return fmt.Errorf("%w: FAILBACK in %d of %d rounds", errBroken, broken, lateBeatRounds)
	}
	return nil
}

// playLateBeatRound returns the highest number of requests that a cold replica received in one second.
func (r *rig) playLateBeatRound(zone int, operator caller, direct []string) (highest int, err error) {
	name := zones[zone]
	var local []*replica
	for _, p := range r.replicas {
		if p.zone == name && !p.hasFallen() {
			local = append(local, p)
		}
	}
	if _, err = operator.call("evacuations.start", name, nil, direct...); err != nil {
		return 0, err
	}
	time.Sleep(evacuationTime)
	if r.trouble {
		r.beatPaths[zone].setDelay(beatDelay)
		r.record.write("beats of the replicas in %s come %v late", name, beatDelay)
	}
	awaitBeat(local[0])
	time.Sleep(100 * time.Millisecond)
	coldFrom := r.record.now()
	for _, p := range local {
		p.turnCold(coldTime)
	}
	time.Sleep(100 * time.Millisecond)
	if _, err = operator.call("evacuations.finish", name, nil, direct...); err != nil {
		return 0, err
	}
	time.Sleep(coldFrom + coldTime - r.record.now())
	r.beatPaths[zone].setDelay(0)
	for _, p := range local {
		most := busiestSecond(p.arrivalsIn(coldFrom, coldFrom+coldTime))
		r.record.write("%s received up to %d requests in one second while it was cold", p.id, most)
		highest = max(highest, most)
		if p.hasFallen() {
			if err := r.startReplica(zone, name, p.work); err != nil {
				return 0, err
			}
		}
	}
	time.Sleep(contact)
	return highest, nil
}

// awaitBeat waits until the replica sends its next beat.
func awaitBeat(p *replica) {
	sent := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.sequence
	}
	for before := sent(); sent() == before; {
		time.Sleep(time.Millisecond)
	}
}

// busiestSecond returns the highest number of arrivals in any span of one second.
func busiestSecond(arrivals []arrival) (most int) {
	first := 0
	for i, a := range arrivals {
		for a.at-arrivals[first].at >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
