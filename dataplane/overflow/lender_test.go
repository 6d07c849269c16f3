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
		Convey("never promises it twice, and again only when a lease has expired", func() {
			x, ok := lender.Grant(1*time.Second, "b", "svc", 70, spare, 0)
			So(ok, ShouldBeTrue)
			So(x.Rate, ShouldEqual, 70)
			y, ok := lender.Grant(1*time.Second, "c", "svc", 70, spare, 0)
			So(ok, ShouldBeTrue)
			So(y.Rate, ShouldAlmostEqual, 30, 0.001)
			_, ok = lender.Grant(2*time.Second, "d", "svc", 10, spare, 0)
			So(ok, ShouldBeFalse)
			z, ok := lender.Grant(1*time.Second+LeaseDuration, "d", "svc", 10, spare, 0)
			So(ok, ShouldBeTrue)
			So(z.Rate, ShouldEqual, 10)
		})
		Convey("replaces a borrower's lease by its next one", func() {
			lender.Grant(1*time.Second, "b", "svc", 70, spare, 0)
			x, ok := lender.Grant(2*time.Second, "b", "svc", 90, spare, 0)
			So(ok, ShouldBeTrue)
			So(x.Rate, ShouldEqual, 90)
		})
		Convey("lends nothing of a service that is short here, until that has been over for a while", func() {
			lender.RecordShortage(1*time.Second, "svc")
			_, ok := lender.Grant(2*time.Second, "b", "svc", 10, spare, 0)
			So(ok, ShouldBeFalse)
			_, ok = lender.Grant(2*time.Second, "b", "other", 10, spare, 0)
			So(ok, ShouldBeTrue)
			_, ok = lender.Grant(5*time.Second, "b", "svc", 10, spare, 0)
			So(ok, ShouldBeTrue)
		})
		Convey("keeps to the limit of a pair of sites", func() {
			x, _ := lender.Grant(1*time.Second, "b", "svc", 70, spare, 25)
			So(x.Rate, ShouldEqual, 25)
		})
	})
	Convey("A site that rejects requests of its own clients, or serves none, has no spare capacity", t, func() {
		So(Stats{Slots: 60, Rate: 10, ServiceSeconds: 0.2, RejectedRate: 1}.SpareRate(), ShouldEqual, 0)
		So(Stats{Slots: 60}.SpareRate(), ShouldEqual, 0)
	})
}
