package soak

import (
	"context"
	"net/http"
	"time"
)

const (
	departureServingTime = 6 * time.Second // longer than the drain deadline, to detect late requests
	departureAttempts    = 12              // then the replica stops without an acknowledgement
)

// leave makes a replica leave as planned: it announces a drain or deregisters, continues to serve for departureServingTime and then stops.
// member receives the first announcement; if it is empty, the target of the heartbeats does.
func (f *fleet) leave(ctx context.Context, position int, departure, member string) error {
	leaving, err := f.detach(ctx, position)
	if err != nil {
		return err
	}
	if member != "" {
		leaving.target = member
	}
	f.depart(leaving, departure)
	return nil
}

// depart makes a replica whose heartbeats have stopped leave as planned.
func (f *fleet) depart(leaving *replica, departure string) {
	f.leaving.Go(func() {
		for range departureAttempts {
			if f.announceDeparture(leaving, departure) {
				break
			}
			time.Sleep(ackRetryPause)
		}
		if departure == departureDrain { // a draining replica continues to send heartbeats
			for range int(departureServingTime / heartbeatInterval) {
				time.Sleep(heartbeatInterval)
				f.heartbeat(leaving, "draining")
			}
		} else {
			time.Sleep(departureServingTime)
		}
		f.stopReplica(leaving)
	})
}

// Values of Instance.Departure.
const (
	departureDrain          = "drain"
	departureDeregistration = "deregistration"
)

// announceDeparture announces a departure to the target member and reports whether it was acknowledged.
func (f *fleet) announceDeparture(r *replica, departure string) bool {
	member, acknowledged := r.target, false
	if departure == departureDrain {
		acknowledged = f.heartbeat(r, "draining")
	} else {
		status, _ := f.cluster.callMember(r.target, "call=instances.deregister&of="+r.instance.ID, nil)
		if acknowledged = status == http.StatusOK; !acknowledged {
			f.advanceTarget(r)
		}
	}
	if acknowledged {
		now := f.cluster.now()
		f.cluster.record.update(func(*Record) {
			r.instance.AcknowledgedAt, r.instance.AcknowledgedBy, r.instance.Departure = now, member, departure
		})
	}
	return acknowledged
}
