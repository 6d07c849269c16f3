package daemon

import (
	"cmp"
	"fmt"
	"runtime/debug"
	"slices"

	"zincloft.example/zincloft/rules"
)

// step hands facts to the governor and carries out its orders. A panic is returned as an error, which ends the program: a
// governor whose state may be inconsistent must start afresh.
func (d *Daemon) step(facts []rules.Event) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic in a step: %v", p)
			d.log.Error().Str("stack", string(debug.Stack())).Msg(err.Error())
		}
	}()
	now := d.now()
	for _, order := range d.queue.Dispatch(d.governor.Step(now, facts)) {
		d.execute(now, order)
	}
	return nil
}

// execute carries out an order that is the daemon's own.
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
		d.log.Warn().Msgf("an order that is not for this site: %T", order)
	}
}
