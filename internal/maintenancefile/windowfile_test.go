package maintenancefile

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/controlplane/maintenanceplanner"
)

func TestFile(t *testing.T) {
	Convey("The worked week of the operators' page", t, func() {
		raw, err := os.ReadFile("../../examples/windows.yaml")
		So(err, ShouldBeNil)
		f, err := Parse(raw)
		So(err, ShouldBeNil)
		tt, proof := maintenanceplanner.Plan(&f.Request)
		So(proof, ShouldBeNil)
		So(f.Request.Verify(tt), ShouldBeNil)
		Convey("is shown with a bar a node and drawn as a chart", func() {
			So(strings.Count(f.Render(tt), "#"), ShouldBeGreaterThan, len(tt.Assignments))
			path := filepath.Join(t.TempDir(), "week.svg")
			So(f.WriteChart(tt, path), ShouldBeNil)
			drawn, err := os.ReadFile(path)
			So(err, ShouldBeNil)
			So(string(drawn), ShouldContainSubstring, "edge-ikeja-1")
		})
		Convey("names the path of what is wrong in it", func() {
			for _, x := range [][3]string{
				{"group: orders", "group: payments", "group: is neither lookups nor orders"},
				{"least: 60", "least: many", "agreed.0.least: is not a number"},
				{"takes: 2h", "takes: soon", `takes: is not a time such as "30m"`},
				{"together: 2", "togetherness: 2", "windows.0.togetherness: is no known key"},
				{"latest: 2026-12-08T06:00:00Z", "latest: tomorrow", "latest: is not a moment"},
				{"nodes: [edge-ikeja-1", "nodes: [nobody, edge-ikeja-1", "nobody is not known"},
				{"by_hour: [", "by_hour: [7, ", "by_hour: is not a list of 24 numbers"},
			} {
				So(string(raw), ShouldContainSubstring, x[0])
				_, err := Parse([]byte(strings.Replace(string(raw), x[0], x[1], 1)))
				So(err, ShouldNotBeNil)
				So(err.Error(), ShouldContainSubstring, x[2])
			}
		})
	})
}
