package overflow

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLender(t *testing.T) {
	Convey("A lender with spare capacity for 100 requests a second", t, func() {
		lender := NewLender("a")
		spare := Stats{Slots: 60, Rate: 140, ServiceSeconds: 0.2}.SpareRate()
		So(spare, ShouldAlmostEqual, 100, 0.001)
		Convey("does not lend it twice, and lends it again after a lease has expired", func() {
			first, ok := lender.Grant(1*time.Second, "b", "svc", 70, spare, 0)
			So(ok, ShouldBeTrue)
			So(first.Rate, ShouldEqual, 70)
			second, ok := lender.Grant(1*time.Second, "c", "svc", 70, spare, 0)
			So(ok, ShouldBeTrue)
			So(second.Rate, ShouldAlmostEqual, 30, 0.001)
			_, ok = lender.Grant(2*time.Second, "d", "svc", 10, spare, 0)
			So(ok, ShouldBeFalse)
			third, ok := lender.Grant(1*time.Second+LeaseDuration, "d", "svc", 10, spare, 0)
			So(ok, ShouldBeTrue)
			So(third.Rate, ShouldEqual, 10)
		})
		Convey("replaces a borrower's lease when it grants the next one", func() {
			lender.Grant(1*time.Second, "b", "svc", 70, spare, 0)
			lease, ok := lender.Grant(2*time.Second, "b", "svc", 90, spare, 0)
			So(ok, ShouldBeTrue)
			So(lease.Rate, ShouldEqual, 90)
		})
		Convey("does not lend capacity of a service until some time after its last shortage", func() {
			lender.RecordShortage(1*time.Second, "svc")
			_, ok := lender.Grant(2*time.Second, "b", "svc", 10, spare, 0)
			So(ok, ShouldBeFalse)
			_, ok = lender.Grant(2*time.Second, "b", "other", 10, spare, 0)
			So(ok, ShouldBeTrue)
			_, ok = lender.Grant(5*time.Second, "b", "svc", 10, spare, 0)
			So(ok, ShouldBeTrue)
		})
		Convey("does not exceed the limit for a pair of sites", func() {
			lease, _ := lender.Grant(1*time.Second, "b", "svc", 70, spare, 25)
			So(lease.Rate, ShouldEqual, 25)
		})
	})
	Convey("A site that rejects requests, or has no known service time, has no spare capacity", t, func() {
		So(Stats{Slots: 60, Rate: 10, ServiceSeconds: 0.2, RejectedRate: 1}.SpareRate(), ShouldEqual, 0)
		So(Stats{Slots: 60}.SpareRate(), ShouldEqual, 0)
	})
}
