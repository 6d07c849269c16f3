package main

import (
	"fmt"
	"time"
)

const (
	evacuationBound = 5 * time.Second // evacuation
	lateOrderRounds = 3
	lateOrderHold   = 4500 * time.Millisecond // shorter than ack_deadline, for which an order may be sent again
	watchTime       = 2 * time.Second         // after the bound
)

// playLateOrder takes an evacuation back while the path of the operator's connection to one member is held up. The operator goes on to
// another member, which acknowledges the order, and evacuates the zone again. Then the path is free, and the first copy of the order
// arrives, with the end of its connection.
func playLateOrder(r *rig) error {
	operator, direct, err := r.startSmallSite(30 * time.Millisecond)
	if err != nil {
		return err
	}
	path, err := newLink(r.record, r.network+".1.200:0", r.members[0].control())
	if err != nil {
		return err
	}
	users := newClients(r.record)
	for _, gateway := range r.gateways {
		users.start(load{gateway: gateway, path: "/ledger/2f", method: "GET", perS: 20})
	}
	time.Sleep(contact)
	broken := 0
	for round := range lateOrderRounds {
		arrived, err := r.playLateOrderRound(operator, path, direct)
		if err != nil {
			return err
		}
		r.record.write("round %d: %d requests reached %s more than %v after its evacuation was acknowledged and before it was taken back",
			round+1, arrived, zones[0], evacuationBound)
		if arrived > 0 {
			broken++
		}
	}
	users.finish()
	if broken > 0 {
		return fmt.Errorf("%w: EVAC in %d of %d rounds", errBroken, broken, lateOrderRounds)
	}
	return nil
}

// playLateOrderRound returns the number of requests that reached the evacuated zone too late.
func (r *rig) playLateOrderRound(operator caller, path *link, direct []string) (arrived int, err error) {
	zone := zones[0]
	if _, err = operator.call("evacuations.start", zone, nil, path.address(), direct[1], direct[2]); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	if r.trouble {
		path.hold(true)
		r.record.write("the path of the operator's connection to %s is held up", r.members[0].name)
	}
	heldAt := time.Now()
	if _, err = operator.call("evacuations.finish", zone, nil, path.address(), direct[1], direct[2]); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	acknowledged, err := operator.call("evacuations.start", zone, nil, direct[2], direct[1])
	if err != nil {
		return 0, err
	}
	time.Sleep(time.Until(heldAt.Add(lateOrderHold)))
	if r.trouble {
		path.hold(false)
		r.record.write("the path of the operator's connection to %s is free", r.members[0].name)
	}
	end := acknowledged + evacuationBound + watchTime
	time.Sleep(end - r.record.now())
	for _, p := range r.replicas {
		if p.zone != zone {
			continue
		}
		for _, a := range p.arrivalsIn(acknowledged+evacuationBound, end) {
			arrived++
			r.record.write("request %s had reached %s in %s at %.3f", a.attempt, p.id, zone, a.at.Seconds())
		}
	}
	if _, err = operator.call("evacuations.finish", zone, nil, direct[1], direct[2]); err != nil {
		return 0, err
	}
	time.Sleep(coldTime)
	return arrived, nil
}
