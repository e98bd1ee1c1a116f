package fairshare

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// The same cases every run; -rapid.seed draws others.
var _ = flag.Set("rapid.seed", "1")

const rounding = 1e-9

// Whatever nodes demand, their shares add up to the total at most, nobody gets less than the
// smaller of its demand and an equal share, and wanting more never brings less.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := float64(rapid.IntRange(1, 100).Draw(t, "total"))
		var demands []float64
		for range rapid.IntRange(1, 9).Draw(t, "nodes") {
			demands = append(demands, float64(rapid.IntRange(0, 300).Draw(t, "demand"))/3)
		}
		share := func(i int, own float64) float64 {
			others := append(append([]float64{}, demands[:i]...), demands[i+1:]...)
			return Allocate(total, own, others)
		}
		sum := 0.0
		for i, demand := range demands {
			got := share(i, demand)
			sum += got
			if got < min(demand, total/float64(len(demands)))-rounding {
				t.Fatalf("%v of %v: %v gets %v", demands, total, demand, got)
			}
			if more := share(i, demand+1); more < got-rounding {
				t.Fatalf("%v of %v: %v gets %v, and with one more %v", demands, total, demand, got, more)
			}
		}
		if sum > total+rounding*total {
			t.Fatalf("%v of %v get %v", demands, total, sum)
		}
	})
}
