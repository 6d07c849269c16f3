package controller

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/controlplane/chainreplication"
)

// TestNoCallsWhileTheTableIsUnreadable guards against renewals of grants that a table written by a later build may have taken back.
func TestNoCallsWhileTheTableIsUnreadable(t *testing.T) {
	Convey("Given a cluster that renews the grants of a sharded service", t, func() {
		c := newCluster()
		sharded := strings.NewReplacer(`"version":"00000002"`, `"version":"00000003"`, `"name":"svc"`, `"name":"svc","sharded":true`).Replace(configurationBody)
		c.execute(chainreplication.Command{Version: 3, Body: []byte(sharded)})
		c.sendHeartbeat(0, 1, 0)
		c.run(6 * time.Second)
		So(c.calls, ShouldNotBeEmpty)
		Convey("it makes no calls once it cannot read the committed table", func() {
			register, _ := c.controllers[0].Coordinator().Register()
			revision := register.Records[ownershipRecord].Revision
			c.execute(chainreplication.Command{Record: ownershipRecord, ExpectedRevision: revision, ChangeID: "later build", Value: []byte{0xff}})
			register, _ = c.controllers[0].Coordinator().Register()
			So(register.Records[ownershipRecord].Revision, ShouldEqual, revision+1)
			c.calls = nil
			c.run(4 * time.Second)
			So(c.calls, ShouldBeEmpty)
		})
	})
}
