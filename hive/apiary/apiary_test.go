package apiary

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// seeds is how many schedules are played; APIARY_SEEDS asks for more.
func seeds(t *testing.T, usual int) uint64 {
	if s := os.Getenv("APIARY_SEEDS"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil {
			t.Fatal(err)
		}
		return uint64(n)
	}
	return uint64(usual)
}

func TestSchedules(t *testing.T) {
	for _, machines := range []int{3, 5} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			acked, calls := 0, 0
			for seed := range seeds(t, 60) {
				s := Draw(seed, machines, 8, 25*time.Second)
				r := Run(s)
				acked, calls = acked+r.Acked, calls+r.Calls
				if len(r.Broken) > 0 {
					s, r = Shrink(s)
					t.Fatalf("seed %d, troubles %v:\n%s", seed, s.Troubles, strings.Join(r.Trace, "\n"))
				}
			}
			if acked == 0 || calls == acked {
				t.Errorf("%d orders acknowledged of %d calls answered: the schedules test nothing", acked, calls)
			}
		})
	}
}
