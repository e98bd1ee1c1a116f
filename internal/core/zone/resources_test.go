package zone

import (
	"math"
	"testing"
)

// Guards against tasks that fit on a machine many times over and are counted as not fitting at all, because the
// quotient of what is free and what they need overflows.
func TestCountOfTasksThatNeedLittle(t *testing.T) {
	free := Resources{CPUs: 64, GPUs: 8, MemoryGB: 256}
	for _, c := range []struct {
		needs Resources
		want  int
	}{
		{Resources{CPUs: 1e-300}, math.MaxInt32},
		{Resources{GPUs: 5e-324}, math.MaxInt32},
		{Resources{MemoryGB: 1e-17}, math.MaxInt32},
		{Resources{CPUs: 1e-300, GPUs: 2}, 4},
		{Resources{CPUs: 1e-300, GPUs: 16}, 0},
		{Resources{}, math.MaxInt32},
		{Resources{CPUs: 5, GPUs: 1, MemoryGB: 36}, 7},
	} {
		if got := c.needs.Count(free); got != c.want {
			t.Errorf("%d tasks that need %+v fit into %+v, want %d", got, c.needs, free, c.want)
		}
	}
	negative := Resources{CPUs: -1, GPUs: 8, MemoryGB: 256}
	if got := (Resources{CPUs: 1e-300}).Count(negative); got != 0 {
		t.Errorf("%d tasks fit on an overcommitted machine, want 0", got)
	}
}
