package overflow

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const s = time.Second

func TestLending(t *testing.T) {
	Convey("A lender with room for 100 requests a second", t, func() {
		l := NewLender("a")
		room := Stats{Slots: 60, Rate: 140, ServiceSeconds: 0.2}.SpareRate()
		So(room, ShouldAlmostEqual, 100, 0.001)
		Convey("never promises it twice, and again only when a lease has run out", func() {
			x, ok := l.Grant(1*s, "b", "svc", 70, room, 0)
			So(ok, ShouldBeTrue)
			So(x.Rate, ShouldEqual, 70)
			y, ok := l.Grant(1*s, "c", "svc", 70, room, 0)
			So(ok, ShouldBeTrue)
			So(y.Rate, ShouldAlmostEqual, 30, 0.001)
			_, ok = l.Grant(2*s, "d", "svc", 10, room, 0)
			So(ok, ShouldBeFalse)
			z, ok := l.Grant(1*s+LeaseDuration, "d", "svc", 10, room, 0)
			So(ok, ShouldBeTrue)
			So(z.Rate, ShouldEqual, 10)
		})
		Convey("replaces a borrower's lease by its next one", func() {
			l.Grant(1*s, "b", "svc", 70, room, 0)
			x, ok := l.Grant(2*s, "b", "svc", 90, room, 0)
			So(ok, ShouldBeTrue)
			So(x.Rate, ShouldEqual, 90)
		})
		Convey("lends nothing of a service that it lacks itself, until that has been over for a while", func() {
			l.MarkShort(1*s, "svc")
			_, ok := l.Grant(2*s, "b", "svc", 10, room, 0)
			So(ok, ShouldBeFalse)
			_, ok = l.Grant(2*s, "b", "other", 10, room, 0)
			So(ok, ShouldBeTrue)
			_, ok = l.Grant(5*s, "b", "svc", 10, room, 0)
			So(ok, ShouldBeTrue)
		})
		Convey("keeps to the bound of a pair of sites", func() {
			x, _ := l.Grant(1*s, "b", "svc", 70, room, 25)
			So(x.Rate, ShouldEqual, 25)
		})
	})
	Convey("A site that refuses its own clients, or answers nobody, has no room", t, func() {
		So(Stats{Slots: 60, Rate: 10, ServiceSeconds: 0.2, RejectedRate: 1}.SpareRate(), ShouldEqual, 0)
		So(Stats{Slots: 60}.SpareRate(), ShouldEqual, 0)
	})
}

func TestBorrowing(t *testing.T) {
	near := []PeerSite{{Site: "far", Distance: 60 * time.Millisecond}, {Site: "near", Distance: 10 * time.Millisecond}}
	Convey("A borrower that refuses 20 requests a second", t, func() {
		b := NewBorrower()
		b.RecordDemand(1*s, "svc", 20, 0)
		So(b.LeaseRequests(1*s, near), ShouldResemble, []LeaseRequest{{"near", "svc", 26}})
		Convey("asks the next one for what the nearest has not given", func() {
			b.HandleResponse(1*s+20*time.Millisecond, 1*s, "near", Lease{ID: "n.1", Service: "svc", Rate: 10})
			w := b.LeaseRequests(2*s, near)
			So(w[len(w)-1], ShouldResemble, LeaseRequest{"far", "svc", 16})
		})
		Convey("asks the next one where the nearest refuses, and that one again later", func() {
			b.HandleResponse(1*s+20*time.Millisecond, 1*s, "near", Lease{Service: "svc"})
			So(b.LeaseRequests(1*s+100*time.Millisecond, near), ShouldResemble, []LeaseRequest{{"far", "svc", 26}})
			So(b.LeaseRequests(2*s, near)[0].Site, ShouldEqual, "near")
		})
		Convey("uses a lease for less long than its lender keeps the room, counted from when it asked", func() {
			b.HandleResponse(2*s, 1*s, "near", Lease{ID: "n.1", Service: "svc", Rate: 26})
			So(len(b.UsableLeases(2500*time.Millisecond, "svc")), ShouldEqual, 1)
			So(len(b.UsableLeases(1*s+LeaseDuration-leaseSafetyMargin, "svc")), ShouldEqual, 0)
		})
		Convey("goes home once nothing is refused any more", func() {
			for i := range 20 {
				b.RecordDemand(time.Duration(2+i)*s, "svc", 0, 0)
			}
			So(b.LeaseRequests(30*s, near), ShouldBeEmpty)
			So(b.Services(), ShouldBeEmpty)
		})
		Convey("asks nobody whose pair is closed", func() {
			So(b.LeaseRequests(1*s, []PeerSite{{Site: "near", Closed: true}}), ShouldBeEmpty)
		})
	})
}

func TestHandOver(t *testing.T) {
	Convey("A purse with ten a second and a door that lent them", t, func() {
		l := Lease{ID: "n.1", Service: "svc", Site: "n", Rate: 10, ExpiresAt: 10 * s, Addrs: []string{"x"}}
		p, d := NewBorrowedQuota("p"), NewLentQuota()
		p.SetLeases(0, []Lease{l})
		d.SetLeases(0, []Lease{l})
		Convey("spends no more than that, lookups first", func() {
			lookups, orders := 0, 0
			for i := range 100 {
				now := time.Duration(i) * 20 * time.Millisecond
				if _, ok := p.Spend(now, "svc", true); ok {
					lookups++
				}
				if _, ok := p.Spend(now, "svc", false); ok {
					orders++
				}
			}
			So(lookups+orders, ShouldBeBetween, 15, 25)
			So(orders, ShouldBeLessThan, lookups)
		})
		Convey("a token is let in once; its duplicate is a doubt, whenever it comes", func() {
			tok, ok := p.Spend(1*s, "svc", false)
			So(ok, ShouldBeTrue)
			back, ok := ParseToken(tok.String())
			So(ok, ShouldBeTrue)
			So(d.Admit(1*s, back, "svc"), ShouldEqual, Admitted)
			So(d.Admit(2*s, back, "svc"), ShouldEqual, Duplicate)
			So(d.Admit(60*s, back, "svc"), ShouldEqual, Duplicate)
		})
		Convey("a lease that has run out on the way, of another service, or never given is proof that it does not run", func() {
			a, _ := p.Spend(1*s, "svc", true)
			So(d.Admit(11*s, a, "svc"), ShouldEqual, NotExecuted)
			b, _ := p.Spend(2*s, "svc", true)
			So(d.Admit(2*s, b, "other"), ShouldEqual, NotExecuted)
			So(d.Admit(2*s, Token{Lease: "m.9", Serial: "p-77"}, "svc"), ShouldEqual, NotExecuted)
			So(d.Admit(3*s, b, "svc"), ShouldEqual, Duplicate) // what was once refused is not let in either
		})
		Convey("a door never lets in more than was lent, whoever comes", func() {
			in := 0
			for i := range 1000 {
				if d.Admit(time.Duration(i)*2*time.Millisecond, Token{Lease: "n.1", Serial: string(rune('a'+i%26)) + time.Duration(i).String()}, "svc") == Admitted {
					in++
				}
			}
			So(in, ShouldBeLessThanOrEqualTo, 26)
		})
		Convey("nothing is spent without a lease", func() {
			p.SetLeases(2*s, nil)
			_, ok := p.Spend(3*s, "svc", true)
			So(ok, ShouldBeFalse)
		})
	})
}
