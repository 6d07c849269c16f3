package registry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const s = time.Second

func beat(id string, seq uint64) Life {
	addr := "10.0.0.1:80"
	if id == "i2" {
		addr = "10.0.0.2:80"
	}
	return Life{ID: id, Service: "svc", Addr: addr, Zone: "a", Slots: 4, Seq: seq}
}

func find(r *Registry, now time.Duration, id string) (l Life, ok bool) {
	for _, x := range r.Changes(now, All) {
		if x.ID == id {
			return x, true
		}
	}
	return
}

func TestRegistry(t *testing.T) {
	Convey("Given a comb that hears a replica", t, func() {
		r := New(5 * s)
		news, urgent := r.Beat(1*s, beat("i1", 1))
		So(news, ShouldBeTrue)
		So(urgent, ShouldBeFalse)
		Convey("a beat that tells nothing new is no news", func() {
			news, _ = r.Beat(2*s, beat("i1", 2))
			So(news, ShouldBeFalse)
		})
		Convey("draining is urgent, and a late word does not take it back", func() {
			l := beat("i1", 3)
			l.Draining = true
			_, urgent = r.Beat(2*s, l)
			So(urgent, ShouldBeTrue)
			r.Beat(2*s, beat("i1", 2))
			r.Beat(3*s, beat("i1", 4))
			got, _ := find(r, 3*s, "i1")
			So(got.Draining, ShouldBeTrue)
		})
		Convey("an end is final: late words of it change nothing", func() {
			So(r.Leave(2*s, "i1"), ShouldBeTrue)
			r.Merge(3*s, []Life{beat("i1", 9)})
			got, _ := find(r, 3*s, "i1")
			So(got.Gone, ShouldBeTrue)
		})
		// Guards against a comb that was frozen: it woke, took all replicas for gone, and its word ended them everywhere.
		Convey("silence is doubted, and taken back by the next beat", func() {
			So(r.Expire(7*s), ShouldResemble, []string{"i1"})
			got, _ := find(r, 7*s, "i1")
			So(got.Silent, ShouldBeTrue)
			So(got.Gone, ShouldBeFalse)
			Convey("which other combs do not take over", func() {
				o := New(5 * s)
				o.Beat(7*s, beat("i1", 2))
				o.Merge(7*s, r.Changes(7*s, All))
				got, _ := find(o, 7*s, "i1")
				So(got.Silent, ShouldBeFalse)
				So(got.Gone, ShouldBeFalse)
			})
			news, _ := r.Beat(8*s, beat("i1", 2))
			So(news, ShouldBeTrue)
			got, _ = find(r, 8*s, "i1")
			So(got.Silent, ShouldBeFalse)
		})
		Convey("one that was held up excuses everyone", func() {
			r.Excuse(60 * s)
			So(r.Expire(61*s), ShouldBeEmpty)
		})
		Convey("signs of life from another comb keep it", func() {
			r.Merge(5*s, []Life{{ID: "i1", Seq: 4}})
			So(r.Expire(7*s), ShouldBeEmpty)
			_, known := find(r, 7*s, "i2")
			r.Merge(7*s, []Life{{ID: "i2", Seq: 4}})
			So(known, ShouldBeFalse)
		})
		// Guards a zone that is given back: its replicas turned cold shortly before, and have not said so yet.
		Convey("when its zone is given back it is in doubt until it has beaten anew", func() {
			r.Doubt(2*s, "a")
			r.Beat(2*s+10*time.Millisecond, beat("i1", 2)) // was under way
			got, _ := find(r, 2*s, "i1")
			So(got.Doubt, ShouldBeTrue)
			l := beat("i1", 3)
			l.Cold = 2500
			r.Beat(3*s, l)
			got, _ = find(r, 3*s, "i1")
			So(got.Doubt, ShouldBeFalse)
			So(got.Cold, ShouldEqual, 2500)
			got, _ = find(r, 4*s, "i1")
			So(got.Cold, ShouldEqual, 1500)
		})
		Convey("a cold end that is known does not make news with every beat", func() {
			l := beat("i1", 2)
			l.Cold = 3000
			r.Beat(2*s, l)
			l.Seq, l.Cold = 3, 1990
			news, _ := r.Beat(3*s, l)
			So(news, ShouldBeFalse)
		})
		// Guards a replica that turns cold anew before its first cold span has ended: a later end of less than 400 ms was passed over.
		Convey("a cold end that moves later counts at once", func() {
			l := beat("i1", 2)
			l.Cold = 2954
			r.Beat(2*s, l)
			l.Seq, l.Cold = 3, 3000
			news, _ := r.Beat(2*s+254*time.Millisecond, l)
			So(news, ShouldBeTrue)
			got, _ := find(r, 5*s, "i1")
			So(got.Cold, ShouldEqual, 254)
		})
		// Guards a comb that starts from its disk: a replica may have turned cold since, or be in doubt.
		Convey("what is unsure is told as old until somebody knows better", func() {
			r = New(5 * s)
			kept := beat("i1", 1)
			kept.Old = true
			r.Merge(1*s, []Life{kept})
			got, _ := find(r, 2*s, "i1")
			So(got.Old, ShouldBeTrue)
			Convey("the replica itself", func() {
				r.Beat(2*s, beat("i1", 2))
				got, _ = find(r, 2*s, "i1")
				So(got.Old, ShouldBeFalse)
			})
			Convey("a comb or a forager that has heard as much, which also tells of cold and doubt", func() {
				l := beat("i1", 1)
				l.Cold, l.Doubt = 2000, true
				r.Merge(2*s, []Life{l})
				got, _ = find(r, 2*s, "i1")
				So(got.Old, ShouldBeFalse)
				So(got.Doubt, ShouldBeTrue)
				So(got.Cold, ShouldEqual, 2000)
			})
			Convey("not one that is unsure too, or has heard less", func() {
				l := beat("i1", 2)
				l.Old = true
				r.Merge(2*s, []Life{l, {ID: "i1"}})
				got, _ = find(r, 2*s, "i1")
				So(got.Old, ShouldBeTrue)
			})
		})
		// Guards a comb that was away while a zone was emptied and given back.
		Convey("doubt of another comb is taken over with a newer beat, once", func() {
			l := beat("i1", 2)
			l.Doubt = true
			r.Merge(30*s, []Life{l})
			got, _ := find(r, 30*s, "i1")
			So(got.Doubt, ShouldBeTrue)
			r.Beat(31*s, beat("i1", 3))
			l.Seq = 4
			r.Merge(31*s, []Life{l})
			got, _ = find(r, 31*s, "i1")
			So(got.Doubt, ShouldBeFalse)
		})
		// Guards a crash and a new start at the same address, and an address handed to another service.
		Convey("a new life at its address ends it at once", func() {
			_, urgent := r.Beat(2*s, beat("i9", 1))
			So(urgent, ShouldBeTrue)
			got, _ := find(r, 2*s, "i1")
			So(got.Gone, ShouldBeTrue)
			Convey("which a late word of the old one does not turn round", func() {
				r.Beat(3*s, beat("i1", 2))
				got, _ := find(r, 3*s, "i9")
				So(got.Gone, ShouldBeFalse)
			})
		})
		Convey("a stream is told what changed after what it holds", func() {
			rev := r.Rev()
			r.Beat(2*s, beat("i2", 1))
			So(len(r.Changes(2*s, rev)), ShouldEqual, 1)
		})
	})
}
