package simulation

// rightsMost is how much of what a cold replica bears may be out in rights at one moment: nine tenths are dealt, by the
// roster's size, which combs learn of one after the other when it changes.
const rightsMost = 1.25

// rights watches the rights to call cold replicas that are held at one moment, over all foragers that run, also while they
// change hands.
func (w *world) rights() {
	for _, r := range w.replicas {
		if w.now >= r.coldUntil || !r.alive {
			continue
		}
		sum, held := 0.0, 0
		for _, b := range w.bees {
			if b.up && !b.frozen {
				if right := b.brain.Right(w.local(&b.node), r.id); right > 0 {
					sum += right
					held++
				}
			}
		}
		if sum > coldPerS*rightsMost {
			w.broken("%d foragers hold rights to send %.1f requests a second to %s, which is cold", held, sum, r.id)
		}
	}
}
