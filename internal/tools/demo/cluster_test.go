package demo

import (
	"io"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// newRequest returns a request of a client to a gateway.
func newRequest(t *testing.T, method, front, path, attempt string, body io.Reader) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+front+path, body)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("X-Attempt-Id", attempt)
	return request
}

func TestCluster(t *testing.T) {
	Convey("One control-plane member, two gateways and three replicas answer on loopback", t, func() {
		cluster, err := Start(t.TempDir(), io.Discard, 3)
		So(err, ShouldBeNil)
		for _, front := range cluster.FrontAddresses {
			for _, path := range []string{"/", "/a/b?c=d"} {
				response, err := http.DefaultClient.Do(newRequest(t, http.MethodGet, front, path, "t"+path, nil))
				So(err, ShouldBeNil)
				body, err := io.ReadAll(response.Body)
				So(err, ShouldBeNil)
				So(response.Body.Close(), ShouldBeNil)
				So(response.StatusCode, ShouldEqual, 200)
				So(string(body), ShouldContainSubstring, "body of t"+path)
			}
		}
		Convey("a replica that deregisters gets nothing more", func() {
			leaving := cluster.Replicas[0]
			status, err := cluster.call(t.Context(), "instances.deregister", leaving.ID, nil)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 200)
			So(poll("the deregistration at the gateways", func() bool {
				before := len(leaving.Requests())
				for _, front := range cluster.FrontAddresses {
					for range 6 {
						_, _ = send(newRequest(t, http.MethodGet, front, "/", "x", nil)) // its outcome does not matter here
					}
				}
				return len(leaving.Requests()) == before
			}), ShouldBeNil)
		})
		Convey("an invalid configuration is rejected and not in force", func() {
			status, err := cluster.call(t.Context(), "configuration.replace", "", []byte(`{"version":"000000ff"}`))
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 400)
		})
		So(cluster.Stop(), ShouldBeNil)
	})
}
