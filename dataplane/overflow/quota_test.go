package overflow

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestQuotas(t *testing.T) {
	Convey("Given a borrowed quota of ten requests per second and the matching lent quota", t, func() {
		lease := Lease{ID: "n.1", Service: "svc", Site: "n", Rate: 10, ExpiresAt: 10 * time.Second, Addrs: []string{"x"}}
		borrowed, lent := NewBorrowedQuota("p"), NewLentQuota()
		borrowed.SetLeases(0, []Lease{lease})
		lent.SetLeases(0, []Lease{lease})
		Convey("it spends at most this rate, with priority for idempotent requests", func() {
			idempotent, other := 0, 0
			for i := range 100 {
				now := time.Duration(i) * 20 * time.Millisecond
				if _, ok := borrowed.Spend(now, "svc", true); ok {
					idempotent++
				}
				if _, ok := borrowed.Spend(now, "svc", false); ok {
					other++
				}
			}
			So(idempotent+other, ShouldBeBetween, 15, 25)
			So(other, ShouldBeLessThan, idempotent)
		})
		Convey("a token is admitted once, and reported as a duplicate afterwards", func() {
			token, ok := borrowed.Spend(1*time.Second, "svc", false)
			So(ok, ShouldBeTrue)
			decoded, ok := ParseToken(token.String())
			So(ok, ShouldBeTrue)
			So(lent.Admit(1*time.Second, decoded, "svc"), ShouldEqual, Admitted)
			So(lent.Admit(2*time.Second, decoded, "svc"), ShouldEqual, Duplicate)
			So(lent.Admit(60*time.Second, decoded, "svc"), ShouldEqual, Duplicate)
		})
		Convey("a request is not executed if its lease has expired, is for another service, or was never granted", func() {
			expired, _ := borrowed.Spend(1*time.Second, "svc", true)
			So(lent.Admit(11*time.Second, expired, "svc"), ShouldEqual, NotExecuted)
			valid, _ := borrowed.Spend(2*time.Second, "svc", true)
			So(lent.Admit(2*time.Second, valid, "other"), ShouldEqual, NotExecuted)
			So(lent.Admit(2*time.Second, Token{Lease: "m.9", Serial: "p-77"}, "svc"), ShouldEqual, NotExecuted)
			So(lent.Admit(3*time.Second, valid, "svc"), ShouldEqual, Duplicate) // a rejected token is not admitted later
		})
		Convey("no more requests are admitted than were lent, whatever their tokens", func() {
			admitted := 0
			for i := range 1000 {
				if lent.Admit(time.Duration(i)*2*time.Millisecond, Token{Lease: "n.1", Serial: string(rune('a'+i%26)) + time.Duration(i).String()}, "svc") == Admitted {
					admitted++
				}
			}
			So(admitted, ShouldBeLessThanOrEqualTo, 26)
		})
		Convey("nothing is spent without a lease", func() {
			borrowed.SetLeases(2*time.Second, nil)
			_, ok := borrowed.Spend(3*time.Second, "svc", true)
			So(ok, ShouldBeFalse)
		})
	})
}
