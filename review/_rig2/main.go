package main

import (
	"fmt"
	"os"
	"time"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	status := 2
	switch os.Args[1] {
	case "disks":
		status = diskCase(rec, trouble)
	}
	os.Exit(status)
}

func fixed(d time.Duration) func(string) time.Duration {
	return func(string) time.Duration { return d }
}
