package demo

import (
	"io"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// newRequest returns a client request to a gateway.
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
	Convey("One control-plane member, two gateways and three replicas serve requests on loopback", t, func() {
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
		Convey("a deregistered replica receives no more requests", func() {
			deregistered := cluster.Replicas[0]
			status, err := cluster.call(t.Context(), "instances.deregister", deregistered.ID, nil)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 200)
			So(poll("the gateways to apply the deregistration", func() bool {
				before := len(deregistered.Requests())
				for _, front := range cluster.FrontAddresses {
					for range 6 {
						_, _ = send(newRequest(t, http.MethodGet, front, "/", "x", nil)) // the result is irrelevant
					}
				}
				return len(deregistered.Requests()) == before
			}), ShouldBeNil)
		})
		Convey("an invalid configuration is rejected", func() {
			status, err := cluster.call(t.Context(), "configuration.replace", "", []byte(`{"version":"000000ff"}`))
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 400)
		})
		So(cluster.Stop(), ShouldBeNil)
	})
}
