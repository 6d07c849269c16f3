// Command rig plays the cases of the review: it starts the project's daemons as processes on loopback addresses, with stand-ins for the
// operator, the replicas and the clients, and judges what these have seen.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errBroken is returned by a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by the name that run.sh passes.
var cases = map[string]func(*rig) error{
	"late-order": playLateOrder,
	"late-beat":  playLateBeat,
}

// longestRun ends a case that hangs.
const longestRun = 110 * time.Second

func main() {
	runtime.LockOSThread() // the daemons end with the thread that has started them
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return exitFailed
	}
	record, err := createRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	r := &rig{record: record, trouble: os.Getenv("TROUBLE") != "0"}
	defer r.stop()
	record.write("case %s, trouble %v", os.Args[1], r.trouble)
	deadline := time.AfterFunc(longestRun, func() {
		record.write("the case could not run: it took longer than %v", longestRun)
		record.close()
		os.Exit(exitFailed)
	})
	defer deadline.Stop()
	err = cases[os.Args[1]](r)
	switch {
	case err == nil:
		record.write("verdict: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		record.write("verdict: %v", err)
		return exitBroken
	}
	record.write("the case could not run: %v", err)
	return exitFailed
}
