package overflow

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestBorrower(t *testing.T) {
	sites := []PeerSite{{Site: "far", Distance: 60 * time.Millisecond}, {Site: "near", Distance: 10 * time.Millisecond}}
	Convey("A borrower that rejects 20 requests a second", t, func() {
		borrower := NewBorrower()
		borrower.RecordDemand(1*time.Second, "svc", 20, 0)
		So(borrower.LeaseRequests(1*time.Second, sites), ShouldResemble, []LeaseRequest{{"near", "svc", 26}})
		Convey("asks the next site for what the nearest has not granted", func() {
			borrower.HandleResponse(1*time.Second+20*time.Millisecond, 1*time.Second, "near", Lease{ID: "n.1", Service: "svc", Rate: 10})
			requests := borrower.LeaseRequests(2*time.Second, sites)
			So(requests[len(requests)-1], ShouldResemble, LeaseRequest{"far", "svc", 16})
		})
		Convey("asks the next site if the nearest denies a lease, and asks the nearest again later", func() {
			borrower.HandleResponse(1*time.Second+20*time.Millisecond, 1*time.Second, "near", Lease{Service: "svc"})
			So(borrower.LeaseRequests(1*time.Second+100*time.Millisecond, sites), ShouldResemble, []LeaseRequest{{"far", "svc", 26}})
			So(borrower.LeaseRequests(2*time.Second, sites)[0].Site, ShouldEqual, "near")
		})
		Convey("stops using a lease before its lender does, counted from the time of the request", func() {
			borrower.HandleResponse(2*time.Second, 1*time.Second, "near", Lease{ID: "n.1", Service: "svc", Rate: 26})
			So(len(borrower.UsableLeases(2500*time.Millisecond, "svc")), ShouldEqual, 1)
			So(len(borrower.UsableLeases(1*time.Second+LeaseDuration-leaseSafetyMargin, "svc")), ShouldEqual, 0)
		})
		Convey("stops borrowing when requests are no longer rejected", func() {
			for i := range 20 {
				borrower.RecordDemand(time.Duration(2+i)*time.Second, "svc", 0, 0)
			}
			So(borrower.LeaseRequests(30*time.Second, sites), ShouldBeEmpty)
			So(borrower.Services(), ShouldBeEmpty)
		})
		Convey("does not ask a closed site", func() {
			So(borrower.LeaseRequests(1*time.Second, []PeerSite{{Site: "near", Closed: true}}), ShouldBeEmpty)
		})
	})
}
