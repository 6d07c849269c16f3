// Command simadapter runs governors for the simulator. It reads events from standard input and writes orders to standard
// output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"zincloft.example/zincloft/internal/tools/simadapter"
	"zincloft.example/zincloft/rules"
)

const inputBufferSize = 1 << 16

func main() {
	if err := run(bufio.NewReaderSize(os.Stdin, inputBufferSize), os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers each batch from in with one reply until in ends.
func run(in io.Reader, out io.Writer) error {
	decoder := simadapter.NewDecoder(in)
	governors := map[simadapter.InstanceID]*rules.Governor{}
	for {
		batch, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		var reply simadapter.Reply
		for _, instance := range batch.Instances {
			governor := governors[instance.Instance]
			if governor == nil {
				governor = &rules.Governor{}
				governors[instance.Instance] = governor
			}
			if err := answer(&reply, governor, batch.Now, instance); err != nil {
				return err
			}
		}
		if _, err := out.Write(reply.Encode()); err != nil {
			return err
		}
	}
}

// answer adds the orders of one governor to the reply. A failure of the decision code is reported as a bug.
func answer(reply *simadapter.Reply, governor *rules.Governor, now rules.Time, instance *simadapter.InstanceEvents) error {
	orders, err := step(governor, now, instance)
	if err == nil && len(orders) == 0 {
		return nil
	}
	reply.SelectInstance(instance.Instance)
	if err != nil {
		reply.AddBug(err.Error())
		return nil
	}
	for _, order := range orders {
		if err := reply.AddOrder(order); err != nil {
			return err
		}
	}
	return nil
}

// panicError is a panic of the decision code.
type panicError struct{ value any }

func (e panicError) Error() string { return fmt.Sprint("panic: ", e.value) }

// step runs one step of a governor. It returns an error if the settings are invalid or the decision code panics.
func step(governor *rules.Governor, now rules.Time, instance *simadapter.InstanceEvents) (orders []rules.Order, err error) {
	defer func() {
		if value := recover(); value != nil {
			orders, err = nil, panicError{value}
		}
	}()
	if instance.SettingsError != nil {
		return nil, instance.SettingsError
	}
	return governor.Step(now, instance.Events), nil
}
