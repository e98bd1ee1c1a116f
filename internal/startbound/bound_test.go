package startbound

import (
	"math"
	"testing"
)

// The bounds of small workloads agree with bounds that were calculated by hand.
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
			out = append(out, Job{Class: "g", AcceptedAt: at, Tasks: tasks, GPUs: 1, RunS: 100, Gang: true, Ends: true})
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
		// Ten GPUs, run time 100 s, 200 s to start: two rounds of ten jobs.
		{"half of them", Workload{20, 200, gpus(10, 20), gang(40, 1, 0)}, 0.5},
		{"one size", Workload{20, 200, gpus(10, 20), gang(8, 5, 0)}, 0.5},
		// Two rounds of ten GPUs are 20 GPU slots. A share z of the 2 large jobs takes 20 z of them. A share z of all
		// 20 jobs also contains 20 z - 2 z small ones, which take a slot each: 20 z + 18 z = 20.
		{"two sizes", Workload{20, 200, gpus(10, 20), concat(gang(2, 10, 0), gang(18, 1, 0))}, 20.0 / 38},
		{"beside a service", Workload{
			20, 200, gpus(10, 20), concat(gang(40, 1, 0), []Job{{Class: "s", Tasks: 5, GPUs: 1}}),
		}, 0.25},
		{"late capacity", Workload{20, 200, append(gpus(0, 10), gpus(10, 10)...), gang(10, 1, 0)}, 0},
	} {
		got, err := Solve(&tt.workload)
		if err != nil {
			t.Errorf("%s: %v", tt.name, err)
			continue
		}
		if math.Abs(got.StartShare["g"]-tt.want) > 0.03 {
			t.Errorf("%s: bound is %.3f, want %.3f", tt.name, got.StartShare["g"], tt.want)
		}
	}
	if _, err := Solve(&Workload{}); err == nil {
		t.Error("Solve returned no error for an empty workload")
	}
}
