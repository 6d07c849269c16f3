package main

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/internal/tools/demo"
)

func TestCommands(t *testing.T) {
	Convey("Given a demo cluster", t, func() {
		dir := t.TempDir()
		cluster, err := demo.Start(dir, io.Discard, 1)
		So(err, ShouldBeNil)
		Reset(func() { So(cluster.Stop(), ShouldBeNil) })
		execute := func(args ...string) (string, error) {
			var out bytes.Buffer
			err := run(args, &out)
			return out.String(), err
		}
		Convey("the state of its control plane and the store on disk are printed", func() {
			out, err := execute("core", cluster.ControlAddress)
			So(err, ShouldBeNil)
			So(out, ShouldContainSubstring, `"in_touch": true`)
			So(out, ShouldContainSubstring, `"version": "00000001"`)
			out, err = execute("store", "verify", filepath.Join(dir, "controlplane"))
			So(err, ShouldBeNil)
			So(out, ShouldContainSubstring, "version 00000001")
			out, err = execute("store", "export", filepath.Join(dir, "controlplane"))
			So(err, ShouldBeNil)
			So(out, ShouldContainSubstring, `"hostname": "localhost"`)
			_, err = execute("store", "verify", dir)
			So(err, ShouldNotBeNil)
		})
		Convey("the configuration is printed, checked and replaced", func() {
			out, err := execute("show", cluster.ControlAddress)
			So(err, ShouldBeNil)
			file := filepath.Join(dir, "c.json")
			So(os.WriteFile(file, bytes.Replace([]byte(out), []byte("00000001"), []byte("00000002"), 1), 0o600), ShouldBeNil)
			out, err = execute("check", file)
			So(err, ShouldBeNil)
			So(out, ShouldContainSubstring, "version 00000002: 3 routes, 1 services")
			_, err = execute("put", cluster.ControlAddress, file)
			So(err, ShouldBeNil)
			out, _ = execute("show", cluster.ControlAddress)
			So(out, ShouldContainSubstring, "00000002")
			So(os.WriteFile(file, []byte(`{"version":"00000003","services":[],"virtual_hosts":[{"hostname":""}]}`), 0o600), ShouldBeNil)
			_, err = execute("put", cluster.ControlAddress, file)
			So(err.Error(), ShouldContainSubstring, "virtual_hosts.0.hostname")
		})
		Convey("a member that does not respond is skipped", func() {
			listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			So(listener.Close(), ShouldBeNil)
			out, err := execute("show", listener.Addr().String()+","+cluster.ControlAddress)
			So(err, ShouldBeNil)
			So(out, ShouldContainSubstring, "00000001")
			_, err = execute("show", "nobody")
			So(err.Error(), ShouldContainSubstring, "address")
		})
		Convey("a zone is evacuated and restored", func() {
			_, err := execute("evacuate", cluster.ControlAddress, "here")
			So(err, ShouldBeNil)
			out, _ := execute("core", cluster.ControlAddress)
			So(out, ShouldContainSubstring, `"here"`)
			_, err = execute("restore", cluster.ControlAddress, "here")
			So(err, ShouldBeNil)
			_, err = execute("evacuate", cluster.ControlAddress, "nowhere")
			So(err, ShouldNotBeNil)
		})
	})
}

func TestMissingSubcommand(t *testing.T) {
	for _, args := range [][]string{nil, {"store"}, {"windows"}} {
		if err := run(args, io.Discard); !errors.Is(err, errMissingSubcommand) {
			t.Errorf("%q: %v, want errMissingSubcommand", args, err)
		}
	}
}
