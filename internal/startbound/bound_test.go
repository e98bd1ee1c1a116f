package startbound

import (
	"math"
	"testing"
)

// The bounds of small workloads agree with those worked out by hand.
func TestSolve(t *testing.T) {
	gpus := func(n float64, periods int) []float64 {
		out := make([]float64, periods)
		for i := range out {
			out[i] = n
		}
		return out
	}
	gang := func(n, tasks int, at float64) []Job {
		var out []Job
		for range n {
			out = append(out, Job{Class: "g", At: at, Tasks: tasks, GPUs: 1, RunS: 100, Gang: true, Ends: true})
		}
		return out
	}
	concat := func(lists ...[]Job) []Job {
		var out []Job
		for _, jobs := range lists {
			out = append(out, jobs...)
		}
		return out
	}
	for _, tt := range []struct {
		name     string
		workload Workload
		want     float64
	}{
		{"capacity for all", Workload{20, 200, gpus(100, 20), gang(10, 4, 0)}, 1},
		// Ten GPUs, 100 s a run, 200 s to begin: two rounds of ten.
		{"half of them", Workload{20, 200, gpus(10, 20), gang(40, 1, 0)}, 0.5},
		{"one size", Workload{20, 200, gpus(10, 20), gang(8, 5, 0)}, 0.5},
		// Twenty GPU rounds: a share z of the 2 wide jobs takes 20 z, and z of all 20 jobs the rest: 20 z - 2 z narrow ones.
		{"two sizes", Workload{20, 200, gpus(10, 20), concat(gang(2, 10, 0), gang(18, 1, 0))}, 20.0 / 38},
		{"beside a service", Workload{20, 200, gpus(10, 20), concat(gang(40, 1, 0), []Job{{Class: "s", Tasks: 5, GPUs: 1}})}, 0.25},
		{"late capacity", Workload{20, 200, append(gpus(0, 10), gpus(10, 10)...), gang(10, 1, 0)}, 0},
	} {
		got, err := Solve(&tt.workload)
		if err != nil {
			t.Errorf("%s: %v", tt.name, err)
			continue
		}
		if math.Abs(got.StartShare["g"]-tt.want) > 0.03 {
			t.Errorf("%s: %.3f, should be %.3f", tt.name, got.StartShare["g"], tt.want)
		}
	}
	if _, err := Solve(&Workload{}); err == nil {
		t.Error("an empty workload has a bound")
	}
}
