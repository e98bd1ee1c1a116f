package fairshare

import (
	"flag"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Fixes the seed, so that every run checks the same cases; -rapid.seed overrides it.
var _ = flag.Set("rapid.seed", "1")

const rounding = 1e-9

// For any demands, the shares add up to at most the total, no node gets less than the smaller of its demand
// and an equal share, and a larger demand never results in a smaller share.
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
				t.Fatalf("demands %v of total %v: share %v for demand %v is less than it and than an equal share",
					demands, total, got, demand)
			}
			if more := share(i, demand+1); more < got-rounding {
				t.Fatalf("demands %v of total %v: share %v for demand %v, but only %v for a demand larger by 1",
					demands, total, got, demand, more)
			}
		}
		if sum > total+rounding*total {
			t.Fatalf("demands %v of total %v: shares add up to %v", demands, total, sum)
		}
	})
}

// Guards against a node whose share of the quota is lost permanently, because a peer has reported a demand that is no
// number: all later sums would not be numbers either.
func TestInvalidDemandCountsAsEqualShare(t *testing.T) {
	for _, demand := range []float64{math.NaN(), -5, math.Inf(-1)} {
		if got, want := Allocate(30, 20, []float64{demand, 1}), Allocate(30, 20, []float64{10, 1}); got != want {
			t.Errorf("share %v beside a demand of %v, want %v as beside an equal share", got, demand, want)
		}
	}
	if got := Allocate(30, 20, []float64{math.Inf(1), 1}); got != 14.5 {
		t.Errorf("share %v beside an infinite demand, want 14.5", got)
	}
}
