package history

import (
	"cmp"
	"container/heap"
	"math"
	"slices"

	"coralhub/internal/estimate"
)

// minimumSimilar is the number of earlier completed runs of the same class and shape from which a run is counted as one
// with similar runs.
const minimumSimilar = 20

// ClassResult is the accuracy of the estimates of a class.
type ClassResult struct {
	Class        string             `json:"class"`
	Jobs         int                `json:"jobs"`     // number of runs with the outcome Done
	WithSimilar  int                `json:"with_kin"` // those with an estimate and at least minimumSimilar similar runs
	Within       map[string]float64 `json:"within"`
	Coverage     map[string]float64 `json:"coverage"`
	LogError     float64            `json:"log_error"`
	UserLogError float64            `json:"owner_log_error"`
	// FirstSeen is about the runs before whose start no run of the same class and shape had completed.
	FirstSeen FirstSeen `json:"first_seen"`

	Points []Point `json:"-"`
}

// FirstSeen is the accuracy of the estimates of runs without similar earlier runs.
type FirstSeen struct {
	Jobs     int     `json:"jobs"`
	Unknown  int     `json:"unknown"` // number of them without an estimate
	Within2  float64 `json:"within_2"`
	LogError float64 `json:"log_error"`
}

// Point is an estimate with the end and the actual run time of the run, in seconds. Low and High are the bounds of the
// 0.8 interval.
type Point struct{ Ended, RunTime, Median, Low, High, UserEstimate float64 }

// Result is the outcome of a replay.
type Result struct {
	Classes []ClassResult `json:"classes"`
	Skipped int           `json:"skipped_lines"`
	Changes int           `json:"sudden_changes"`
}

// factors are the factors of the actual run time for which Within has the fraction of estimates.
var factors = []struct {
	name   string
	factor float64
}{{"1.25", 1.25}, {"1.5", 1.5}, {"2", 2}}

// intervals are the names of estimate.Intervals, in the same order.
var intervals = [...]string{"0.5", "0.8", "0.95"}

// runningHeap is a heap of the indices of active runs. As runs are sorted by their end, the run that ends
// first is at the top.
type runningHeap struct{ indices []int }

func (h *runningHeap) Len() int           { return len(h.indices) }
func (h *runningHeap) Less(i, j int) bool { return h.indices[i] < h.indices[j] }
func (h *runningHeap) Swap(i, j int)      { h.indices[i], h.indices[j] = h.indices[j], h.indices[i] }
func (h *runningHeap) Push(x any)         { h.indices = append(h.indices, x.(int)) }
func (h *runningHeap) Pop() any {
	x := h.indices[len(h.indices)-1]
	h.indices = h.indices[:len(h.indices)-1]
	return x
}

// prediction is the estimate of a run at its start.
type prediction struct {
	estimate estimate.RunTimeEstimate
	similar  int // number of runs of the same class and shape that had completed before
}

// classScore accumulates the accuracy of the estimates of a class.
type classScore struct {
	ClassResult
	within, covered  [3]int // counts, in the order of factors and of intervals
	logErrors        float64
	userLogErrors    float64
	withUserEstimate int
	firstWithin      int
	firstEstimated   int
	firstLogErrors   float64
}

// replay is the state of a replay.
type replay struct {
	runs        []Run
	model       *estimate.Model
	scores      map[string]*classScore // by class
	similar     map[[2]string]int      // number of completed runs, by class and shape
	predictions []prediction           // by run
	running     *runningHeap
}

// Replay replays a history, whose runs are sorted by their end, with a new model of run times. Each run is estimated
// at its start, only from runs that have ended by then. The number of skipped lines is only copied to the result.
func Replay(runs []Run, skipped int) *Result {
	r := &replay{
		runs:        runs,
		model:       estimate.New(estimate.DefaultSettings(), 1),
		scores:      map[string]*classScore{},
		similar:     map[[2]string]int{},
		predictions: make([]prediction, len(runs)),
		running:     &runningHeap{},
	}
	for _, i := range startOrder(runs) {
		for r.running.Len() > 0 && runs[r.running.indices[0]].Ended <= runs[i].Started {
			r.endNext()
		}
		r.start(i)
	}
	for r.running.Len() > 0 {
		r.endNext()
	}
	return r.result(skipped)
}

// startOrder returns the indices of the runs, sorted by their start.
func startOrder(runs []Run) []int {
	order := make([]int, len(runs))
	for i := range runs {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(runs[a].Started, runs[b].Started) })
	return order
}

// start estimates a run and adds it to the active runs.
func (r *replay) start(i int) {
	run := &r.runs[i]
	f := run.features()
	r.predictions[i] = prediction{r.model.Estimate(&f), r.similar[[2]string{run.Class, run.Shape}]}
	heap.Push(r.running, i)
}

// endNext ends the active run that ends first. Its estimate is scored before the model observes its run time.
func (r *replay) endNext() {
	i := heap.Pop(r.running).(int)
	run := &r.runs[i]
	s := r.scores[run.Class]
	if s == nil {
		s = &classScore{ClassResult: ClassResult{Class: run.Class}}
		r.scores[run.Class] = s
	}
	if run.Outcome == Done {
		s.add(run, &r.predictions[i])
		r.similar[[2]string{run.Class, run.Shape}]++
	}
	r.model.Observe(&estimate.Observation{Features: run.features(), Elapsed: run.runTime(), Done: run.Outcome == Done})
	r.predictions[i] = prediction{} // not needed any more
}

func (r *replay) result(skipped int) *Result {
	result := &Result{Skipped: skipped, Changes: r.model.DetectedChanges()}
	for _, s := range r.scores {
		result.Classes = append(result.Classes, s.result())
	}
	slices.SortFunc(result.Classes, func(a, b ClassResult) int { return cmp.Compare(a.Class, b.Class) })
	return result
}

// features returns the features of the run that its estimate depends on.
func (run *Run) features() estimate.Features {
	return estimate.Features{
		Image:        run.Image,
		Shape:        run.Shape,
		Class:        run.Class,
		Team:         run.Team,
		UserEstimate: micros(run.ExpectS),
		Machine:      run.Machine,
	}
}

func (run *Run) runTime() estimate.Micros { return micros(run.Ended - run.Started) }

func micros(s float64) estimate.Micros { return estimate.Micros(math.Round(s * 1e6)) }

// logError returns the absolute difference of the natural logarithms of two times in seconds. Times below a hundredth
// of a second are replaced by a hundredth of a second.
func logError(a, b float64) float64 { return math.Abs(math.Log(math.Max(a, 0.01) / math.Max(b, 0.01))) }

// add scores the estimate of a run with the outcome Done.
func (s *classScore) add(run *Run, p *prediction) {
	s.Jobs++
	ran := run.Ended - run.Started
	median := float64(p.estimate.Median) / 1e6
	if p.similar == 0 {
		s.addFirstSeen(&p.estimate, logError(median, ran))
	}
	if p.similar < minimumSimilar || p.estimate.Level == estimate.Unknown {
		return
	}
	s.WithSimilar++
	absLogError := logError(median, ran)
	s.logErrors += absLogError
	for i, f := range factors {
		if absLogError <= math.Log(f.factor)+roundingTolerance {
			s.within[i]++
		}
	}
	for i := range intervals {
		if d := run.runTime(); d >= p.estimate.Low[i] && d <= p.estimate.High[i] {
			s.covered[i]++
		}
	}
	if run.ExpectS > 0 {
		s.withUserEstimate++
		s.userLogErrors += logError(run.ExpectS, ran)
	}
	s.Points = append(s.Points, Point{
		Ended:        run.Ended,
		RunTime:      ran,
		Median:       median,
		Low:          float64(p.estimate.Low[1]) / 1e6,
		High:         float64(p.estimate.High[1]) / 1e6,
		UserEstimate: run.ExpectS,
	})
}

// addFirstSeen scores the estimate of a run without similar earlier runs. The error is ignored if there is no estimate.
func (s *classScore) addFirstSeen(a *estimate.RunTimeEstimate, absLogError float64) {
	s.FirstSeen.Jobs++
	if a.Level == estimate.Unknown {
		s.FirstSeen.Unknown++
		return
	}
	s.firstEstimated++
	s.firstLogErrors += absLogError
	if absLogError <= math.Ln2 {
		s.firstWithin++
	}
}

// roundingTolerance is the amount by which an error may exceed the logarithm of a factor because of rounding.
const roundingTolerance = 1e-12

func (s *classScore) result() ClassResult {
	r := s.ClassResult
	r.Within = map[string]float64{}
	r.Coverage = map[string]float64{}
	for i, f := range factors {
		r.Within[f.name] = share(s.within[i], r.WithSimilar)
	}
	for i, name := range intervals {
		r.Coverage[name] = share(s.covered[i], r.WithSimilar)
	}
	r.LogError = mean(s.logErrors, r.WithSimilar)
	r.UserLogError = mean(s.userLogErrors, s.withUserEstimate)
	r.FirstSeen.Within2 = share(s.firstWithin, s.firstEstimated)
	r.FirstSeen.LogError = mean(s.firstLogErrors, s.firstEstimated)
	return r
}

// share returns the fraction n/total, rounded to four decimal places, or 0 if total is 0.
func share(n, total int) float64 { return mean(float64(n), total) }

// mean returns sum/n, rounded to four decimal places, or 0 if n is 0.
func mean(sum float64, n int) float64 {
	if n == 0 {
		return 0
	}
	return math.Round(sum/float64(n)*1e4) / 1e4
}
