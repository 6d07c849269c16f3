package main

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain runs the tests, or the program itself if ZINCLOFT_MAIN is set or a script calls it.
func TestMain(m *testing.M) {
	if os.Getenv("ZINCLOFT_MAIN") != "" {
		main()
		return
	}
	testscript.Main(m, map[string]func(){"zincloft": main})
}

// TestCommands runs the scripts in testdata.
func TestCommands(t *testing.T) {
	example, err := filepath.Abs("../../deploy/example.json")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: func(e *testscript.Env) error {
		e.Setenv("EXAMPLE", example)
		return nil
	}})
}

// TestSignals checks that SIGHUP during startup reloads the configuration without ending the process, and that SIGTERM ends
// it cleanly.
func TestSignals(t *testing.T) {
	c := exec.CommandContext(t.Context(), os.Args[0])
	c.Env = append(os.Environ(), "ZINCLOFT_MAIN=1", "LB_CONFIG=../../deploy/example.json", "LB_LISTEN=127.0.0.1:0")
	out, err := c.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	signals := map[string]syscall.Signal{`"phase":"starting"`: syscall.SIGHUP, `"message":"reload failed"`: syscall.SIGTERM}
	for lines := bufio.NewScanner(out); lines.Scan(); {
		for mark, signal := range signals {
			if strings.Contains(lines.Text(), mark) {
				delete(signals, mark)
				if err := c.Process.Signal(signal); err != nil {
					t.Error(err)
				}
			}
		}
	}
	if err := c.Wait(); err != nil || len(signals) > 0 {
		t.Error(err, signals)
	}
}
