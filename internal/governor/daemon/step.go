package daemon

import (
	"cmp"
	"fmt"
	"runtime/debug"
	"slices"

	"zincloft.example/zincloft/rules"
)

// step runs one governor step and executes its orders. A panic is returned as an error, which ends the process, because the
// governor's state may be inconsistent.
func (d *Daemon) step(events []rules.Event) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic in a step: %v", p)
			d.log.Error().Str("stack", string(debug.Stack())).Msg(err.Error())
		}
	}()
	now := d.now()
	for _, order := range d.queue.Dispatch(d.governor.Step(now, events)) {
		d.execute(now, order)
	}
	return nil
}

// execute carries out an order that the queue leaves to the daemon.
func (d *Daemon) execute(now rules.Time, order rules.Order) {
	switch order := order.(type) {
	case rules.WakeAfter:
		d.timers = append(d.timers, timer{now + rules.Time(order.After), order.TimerID})
		slices.SortStableFunc(d.timers, func(a, b timer) int { return cmp.Compare(a.at, b.at) })
	case rules.Forget:
		delete(d.entries, order.Replica)
		if d.intake != nil {
			d.intake.Forget(order.Replica)
		}
	case rules.Log:
		d.log.Info().Msg(order.Text)
	default:
		d.log.Warn().Msgf("unexpected order %T", order)
	}
}
