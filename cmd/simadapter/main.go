// Command simadapter runs governors on the simulator's wire: events on standard input, orders on standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"zincloft.example/zincloft/internal/simadapter"
	"zincloft.example/zincloft/rules"
)

func main() {
	if err := run(bufio.NewReaderSize(os.Stdin, 1<<16), os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	dec := simadapter.NewDecoder(in)
	governors := map[simadapter.InstanceID]*rules.Governor{}
	for {
		batch, err := dec.Next()
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		var reply simadapter.Reply
		for _, share := range batch.Instances {
			g := governors[share.Instance]
			if g == nil {
				g = &rules.Governor{}
				governors[share.Instance] = g
			}
			if err := answer(&reply, g, batch.Now, share); err != nil {
				return err
			}
		}
		if _, err := out.Write(reply.Encode()); err != nil {
			return err
		}
	}
}

// answer adds one governor's orders to the reply. A failure of the decision code becomes a bug report.
func answer(reply *simadapter.Reply, g *rules.Governor, now rules.Time, share *simadapter.InstanceEvents) error {
	orders, fault := step(g, now, share)
	if fault == "" && len(orders) == 0 {
		return nil
	}
	reply.SelectInstance(share.Instance)
	if fault != "" {
		reply.AddBug(fault)
		return nil
	}
	for _, o := range orders {
		if err := reply.AddOrder(o); err != nil {
			return err
		}
	}
	return nil
}

func step(g *rules.Governor, now rules.Time, share *simadapter.InstanceEvents) (orders []rules.Order, fault string) {
	defer func() {
		if p := recover(); p != nil {
			orders, fault = nil, fmt.Sprint("panic: ", p)
		}
	}()
	if share.SettingsError != nil {
		return nil, share.SettingsError.Error()
	}
	return g.Step(now, share.Events), ""
}
