package maintenancefile

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/controlplane/maintenanceplanner"
)

func TestParse(t *testing.T) {
	Convey("The example file", t, func() {
		raw, err := os.ReadFile("../../../examples/windows.yaml")
		So(err, ShouldBeNil)
		file, err := Parse(raw)
		So(err, ShouldBeNil)
		schedule, err := maintenanceplanner.Plan(&file.Request)
		So(err, ShouldBeNil)
		So(file.Request.Verify(schedule), ShouldBeNil)
		Convey("is rendered as a table with a bar for each node and as a chart", func() {
			So(strings.Count(file.Render(schedule), "#"), ShouldBeGreaterThan, len(schedule.Assignments))
			path := filepath.Join(t.TempDir(), "week.svg")
			So(file.WriteChart(schedule, path), ShouldBeNil)
			drawn, err := os.ReadFile(path)
			So(err, ShouldBeNil)
			So(string(drawn), ShouldContainSubstring, "edge-ikeja-1")
		})
		Convey("with an invalid value is rejected with the path of that value", func() {
			for _, fault := range []struct{ old, new, want string }{
				{"group: orders", "group: payments", `group: must be "lookups" or "orders"`},
				{"least: 60", "least: many", "agreed.0.least: must be a number of at least 0"},
				{"takes: 2h", "takes: soon", `takes: must be a positive duration such as "30m"`},
				{"together: 2", "togetherness: 2", "windows.0.togetherness: unknown key"},
				{"latest: 2026-12-08T06:00:00Z", "latest: tomorrow", `latest: must be a time such as "2026-12-07T01:00:00Z"`},
				{"nodes: [edge-ikeja-1", "nodes: [nobody, edge-ikeja-1", "nobody is not known"},
				{"by_hour: [", "by_hour: [7, ", "by_hour: must be an array of 24 numbers"},
			} {
				So(string(raw), ShouldContainSubstring, fault.old)
				_, err := Parse([]byte(strings.Replace(string(raw), fault.old, fault.new, 1)))
				So(err, ShouldNotBeNil)
				So(err.Error(), ShouldContainSubstring, fault.want)
			}
		})
	})
}
