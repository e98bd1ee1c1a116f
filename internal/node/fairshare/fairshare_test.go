package fairshare

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// The same cases every run; -rapid.seed draws others.
var _ = flag.Set("rapid.seed", "1")

const rounding = 1e-9

// Whatever nodes want, their parts add up to the whole at most, nobody gets less than the
// smaller of what it wants and an equal part, and wanting more never brings less.
func TestPartsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := float64(rapid.IntRange(1, 100).Draw(t, "whole"))
		var wants []float64
		for range rapid.IntRange(1, 9).Draw(t, "nodes") {
			wants = append(wants, float64(rapid.IntRange(0, 300).Draw(t, "want"))/3)
		}
		part := func(i int, own float64) float64 {
			others := append(append([]float64{}, wants[:i]...), wants[i+1:]...)
			return Allocate(whole, own, others)
		}
		sum := 0.0
		for i, w := range wants {
			p := part(i, w)
			sum += p
			if p < min(w, whole/float64(len(wants)))-rounding {
				t.Fatalf("%v of %v: %v gets %v", wants, whole, w, p)
			}
			if more := part(i, w+1); more < p-rounding {
				t.Fatalf("%v of %v: %v gets %v, and with one more %v", wants, whole, w, p, more)
			}
		}
		if sum > whole+rounding*whole {
			t.Fatalf("%v of %v get %v", wants, whole, sum)
		}
	})
}
