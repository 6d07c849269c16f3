package overflow

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestQuotas(t *testing.T) {
	Convey("A borrowed quota of ten a second and the lent quota behind it", t, func() {
		lease := Lease{ID: "n.1", Service: "svc", Site: "n", Rate: 10, ExpiresAt: 10 * time.Second, Addrs: []string{"x"}}
		borrowed, lent := NewBorrowedQuota("p"), NewLentQuota()
		borrowed.SetLeases(0, []Lease{lease})
		lent.SetLeases(0, []Lease{lease})
		Convey("spends no more than that, lookups first", func() {
			lookups, orders := 0, 0
			for i := range 100 {
				now := time.Duration(i) * 20 * time.Millisecond
				if _, ok := borrowed.Spend(now, "svc", true); ok {
					lookups++
				}
				if _, ok := borrowed.Spend(now, "svc", false); ok {
					orders++
				}
			}
			So(lookups+orders, ShouldBeBetween, 15, 25)
			So(orders, ShouldBeLessThan, lookups)
		})
		Convey("a token is admitted once; its duplicate is reported as one, whenever it comes", func() {
			token, ok := borrowed.Spend(1*time.Second, "svc", false)
			So(ok, ShouldBeTrue)
			decoded, ok := ParseToken(token.String())
			So(ok, ShouldBeTrue)
			So(lent.Admit(1*time.Second, decoded, "svc"), ShouldEqual, Admitted)
			So(lent.Admit(2*time.Second, decoded, "svc"), ShouldEqual, Duplicate)
			So(lent.Admit(60*time.Second, decoded, "svc"), ShouldEqual, Duplicate)
		})
		Convey("a lease that has expired on the way, is of another service, or was never granted is proof that nothing is executed", func() {
			expired, _ := borrowed.Spend(1*time.Second, "svc", true)
			So(lent.Admit(11*time.Second, expired, "svc"), ShouldEqual, NotExecuted)
			valid, _ := borrowed.Spend(2*time.Second, "svc", true)
			So(lent.Admit(2*time.Second, valid, "other"), ShouldEqual, NotExecuted)
			So(lent.Admit(2*time.Second, Token{Lease: "m.9", Serial: "p-77"}, "svc"), ShouldEqual, NotExecuted)
			So(lent.Admit(3*time.Second, valid, "svc"), ShouldEqual, Duplicate) // what was once rejected is not admitted either
		})
		Convey("no more is admitted than was lent, whoever comes", func() {
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
