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
	Convey("The worked week of the operators' page", t, func() {
		raw, err := os.ReadFile("../../../examples/windows.yaml")
		So(err, ShouldBeNil)
		file, err := Parse(raw)
		So(err, ShouldBeNil)
		schedule, err := maintenanceplanner.Plan(&file.Request)
		So(err, ShouldBeNil)
		So(file.Request.Verify(schedule), ShouldBeNil)
		Convey("is shown with a bar for each node and drawn as a chart", func() {
			So(strings.Count(file.Render(schedule), "#"), ShouldBeGreaterThan, len(schedule.Assignments))
			path := filepath.Join(t.TempDir(), "week.svg")
			So(file.WriteChart(schedule, path), ShouldBeNil)
			drawn, err := os.ReadFile(path)
			So(err, ShouldBeNil)
			So(string(drawn), ShouldContainSubstring, "edge-ikeja-1")
		})
		Convey("names the path of what is wrong in it", func() {
			for _, fault := range []struct{ old, new, want string }{
				{"group: orders", "group: payments", "group: is neither lookups nor orders"},
				{"least: 60", "least: many", "agreed.0.least: is not a number"},
				{"takes: 2h", "takes: soon", `takes: is not a time such as "30m"`},
				{"together: 2", "togetherness: 2", "windows.0.togetherness: is no known key"},
				{"latest: 2026-12-08T06:00:00Z", "latest: tomorrow", "latest: is not a moment"},
				{"nodes: [edge-ikeja-1", "nodes: [nobody, edge-ikeja-1", "nobody is not known"},
				{"by_hour: [", "by_hour: [7, ", "by_hour: is not a list of 24 numbers"},
			} {
				So(string(raw), ShouldContainSubstring, fault.old)
				_, err := Parse([]byte(strings.Replace(string(raw), fault.old, fault.new, 1)))
				So(err, ShouldNotBeNil)
				So(err.Error(), ShouldContainSubstring, fault.want)
			}
		})
	})
}
