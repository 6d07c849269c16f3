package demo

import (
	"io"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestDemo(t *testing.T) {
	Convey("One comb, two foragers and three replicas answer on loopback", t, func() {
		g, err := Start(t.TempDir(), io.Discard, 3)
		So(err, ShouldBeNil)
		for _, front := range g.FrontAddresses {
			for _, path := range []string{"/", "/a/b?c=d"} {
				q, _ := http.NewRequest(http.MethodGet, "http://"+front+path, nil)
				q.Header.Set("X-Attempt-Id", "t"+path)
				resp, err := http.DefaultClient.Do(q)
				So(err, ShouldBeNil)
				body, _ := io.ReadAll(resp.Body)
				resp.Body.Close()
				So(resp.StatusCode, ShouldEqual, 200)
				So(string(body), ShouldContainSubstring, "body of t"+path)
			}
		}
		Convey("a replica that says that it leaves gets nothing more", func() {
			leaving := g.Replicas[0]
			status, err := g.call("instances.deregister", leaving.ID, nil)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 200)
			So(until("the news at the foragers", func() bool {
				before := len(leaving.Requests())
				for _, front := range g.FrontAddresses {
					for range 6 {
						q, _ := http.NewRequest(http.MethodGet, "http://"+front+"/", nil)
						q.Header.Set("X-Attempt-Id", "x")
						if resp, err := http.DefaultClient.Do(q); err == nil {
							io.Copy(io.Discard, resp.Body)
							resp.Body.Close()
						}
					}
				}
				return len(leaving.Requests()) == before
			}), ShouldBeNil)
		})
		Convey("an invalid configuration is refused and not in force", func() {
			status, err := g.call("configuration.replace", "", []byte(`{"version":"000000ff"}`))
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 400)
		})
		So(g.Stop(), ShouldBeNil)
	})
}
