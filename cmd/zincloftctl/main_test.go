package main

import (
	"bytes"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/internal/demo"
)

func TestBeekeeper(t *testing.T) {
	Convey("Given a small gateway", t, func() {
		dir := t.TempDir()
		g, err := demo.Start(dir, io.Discard, 1)
		So(err, ShouldBeNil)
		Reset(func() { g.Stop() })
		do := func(args ...string) (string, error) {
			var out bytes.Buffer
			err := run(args, &out)
			return out.String(), err
		}
		Convey("its core is shown, and what lies on its disk", func() {
			out, err := do("core", g.ControlAddress)
			So(err, ShouldBeNil)
			So(out, ShouldContainSubstring, `"in_touch": true`)
			So(out, ShouldContainSubstring, `"version": "00000001"`)
			out, err = do("store", "verify", filepath.Join(dir, "comb"))
			So(err, ShouldBeNil)
			So(out, ShouldContainSubstring, "version 00000001")
			out, err = do("store", "export", filepath.Join(dir, "comb"))
			So(err, ShouldBeNil)
			So(out, ShouldContainSubstring, `"hostname": "localhost"`)
			_, err = do("store", "verify", dir)
			So(err, ShouldNotBeNil)
		})
		Convey("a configuration is shown, checked and given", func() {
			out, err := do("show", g.ControlAddress)
			So(err, ShouldBeNil)
			file := filepath.Join(dir, "c.json")
			So(os.WriteFile(file, bytes.Replace([]byte(out), []byte("00000001"), []byte("00000002"), 1), 0o600), ShouldBeNil)
			out, err = do("check", file)
			So(err, ShouldBeNil)
			So(out, ShouldContainSubstring, "version 00000002: 3 routes, 1 services")
			_, err = do("put", g.ControlAddress, file)
			So(err, ShouldBeNil)
			out, _ = do("show", g.ControlAddress)
			So(out, ShouldContainSubstring, "00000002")
			So(os.WriteFile(file, []byte(`{"version":"00000003","services":[],"virtual_hosts":[{"hostname":""}]}`), 0o600), ShouldBeNil)
			_, err = do("put", g.ControlAddress, file)
			So(err.Error(), ShouldContainSubstring, "virtual_hosts.0.hostname")
		})
		Convey("a comb that does not answer is passed over", func() {
			nobody, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			nobody.Close()
			out, err := do("show", nobody.Addr().String()+","+g.ControlAddress)
			So(err, ShouldBeNil)
			So(out, ShouldContainSubstring, "00000001")
			_, err = do("show", "nobody")
			So(err.Error(), ShouldContainSubstring, "address")
		})
		Convey("a zone is emptied and given back", func() {
			_, err := do("evacuate", g.ControlAddress, "here")
			So(err, ShouldBeNil)
			out, _ := do("core", g.ControlAddress)
			So(out, ShouldContainSubstring, `"here"`)
			_, err = do("restore", g.ControlAddress, "here")
			So(err, ShouldBeNil)
			_, err = do("evacuate", g.ControlAddress, "nowhere")
			So(err, ShouldNotBeNil)
		})
	})
}
