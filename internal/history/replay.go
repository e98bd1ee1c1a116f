package history

import (
	"container/heap"
	"math"
	"slices"

	"coralhub/internal/estimate"
)

// leastKin is from how many earlier ends of the same class and shape on a run counts
// as one with kin.
const leastKin = 20

// ClassResult tells how the estimates of a class fared.
type ClassResult struct {
	Class         string             `json:"class"`
	Jobs          int                `json:"jobs"` // that ended done
	WithKin       int                `json:"with_kin"`
	Within        map[string]float64 `json:"within"`
	Coverage      map[string]float64 `json:"coverage"`
	LogError      float64            `json:"log_error"`
	OwnerLogError float64            `json:"owner_log_error"`
	// FirstSeen are runs of which the class had no end before.
	FirstSeen FirstSeen `json:"first_seen"`

	Points []Point `json:"-"`
}

// FirstSeen tells how estimates fared that nothing similar was known for.
type FirstSeen struct {
	Jobs     int     `json:"jobs"`
	Unknown  int     `json:"unknown"` // of which nothing could be said
	Within2  float64 `json:"within_2"`
	LogError float64 `json:"log_error"`
}

// Point is an estimate beside what came of it, in seconds.
type Point struct{ Ended, Ran, Median, Low, High, Owner float64 }

// Result is what a replay found.
type Result struct {
	Classes []ClassResult `json:"classes"`
	Skipped int           `json:"skipped_lines"`
	Changes int           `json:"sudden_changes"`
}

var factors = []struct {
	name string
	by   float64
}{{"1.25", 1.25}, {"1.5", 1.5}, {"2", 2}}

var intervals = [...]string{"0.5", "0.8", "0.95"}

type byEnd struct {
	lines []Line
	order []int
}

func (h *byEnd) Len() int           { return len(h.order) }
func (h *byEnd) Less(i, j int) bool { return h.order[i] < h.order[j] } // the lines are sorted by their end
func (h *byEnd) Swap(i, j int)      { h.order[i], h.order[j] = h.order[j], h.order[i] }
func (h *byEnd) Push(x any)         { h.order = append(h.order, x.(int)) }
func (h *byEnd) Pop() any {
	x := h.order[len(h.order)-1]
	h.order = h.order[:len(h.order)-1]
	return x
}

// stated is what was said of a run when it began.
type stated struct {
	answer estimate.Answer
	kin    int
}

type score struct {
	ClassResult
	within, inside         [3]int
	errs, ownerErrs        float64
	owners                 int
	firstWithin, firstTold int
	firstErrs              float64
}

// Replay runs a history through a learner. What is said of a run is said when it
// begins, on the strength of the runs that have ended by then: never of a later one.
func Replay(lines []Line, skipped int) *Result {
	m := estimate.New(estimate.DefaultSettings(), 1)
	scores := map[string]*score{}
	kin := map[[2]string]int{}
	said := make([]stated, len(lines))
	starts := make([]int, len(lines))
	for i := range lines {
		starts[i] = i
	}
	slices.SortStableFunc(starts, func(a, b int) int {
		switch x, y := lines[a].Started, lines[b].Started; {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	running := &byEnd{lines: lines}
	end := func() {
		i := heap.Pop(running).(int)
		l := &lines[i]
		s := scores[l.Class]
		if s == nil {
			s = &score{ClassResult: ClassResult{Class: l.Class}}
			scores[l.Class] = s
		}
		if l.Outcome == Done {
			s.take(l, &said[i])
			kin[[2]string{l.Class, l.Shape}]++
		}
		m.Observe(&estimate.Evidence{Features: l.features(), Ran: l.ran(), Done: l.Outcome == Done})
		said[i] = stated{}
	}
	for _, i := range starts {
		l := &lines[i]
		for running.Len() > 0 && lines[running.order[0]].Ended <= l.Started {
			end()
		}
		f := l.features()
		said[i] = stated{m.Estimate(&f), kin[[2]string{l.Class, l.Shape}]}
		heap.Push(running, i)
	}
	for running.Len() > 0 {
		end()
	}
	r := &Result{Skipped: skipped, Changes: m.Changes()}
	for _, s := range scores {
		r.Classes = append(r.Classes, s.result())
	}
	slices.SortFunc(r.Classes, func(a, b ClassResult) int {
		if a.Class < b.Class {
			return -1
		}
		return 1
	})
	return r
}

func (l *Line) features() estimate.Features {
	return estimate.Features{Image: l.Image, Shape: l.Shape, Class: l.Class, Team: l.Team, Expect: micros(l.ExpectS), Machine: l.Machine}
}

func (l *Line) ran() estimate.Micros { return micros(l.Ended - l.Started) }

func micros(s float64) estimate.Micros { return estimate.Micros(math.Round(s * 1e6)) }

func logError(a, b float64) float64 { return math.Abs(math.Log(math.Max(a, 0.01) / math.Max(b, 0.01))) }

func (s *score) take(l *Line, said *stated) {
	s.Jobs++
	a := &said.answer
	ran, median := l.Ended-l.Started, float64(a.Median)/1e6
	if said.kin == 0 {
		s.FirstSeen.Jobs++
		if a.Level == estimate.Unknown {
			s.FirstSeen.Unknown++
		} else {
			e := logError(median, ran)
			s.firstTold++
			s.firstErrs += e
			if e <= math.Ln2 {
				s.firstWithin++
			}
		}
	}
	if said.kin < leastKin || a.Level == estimate.Unknown {
		return
	}
	s.WithKin++
	e := logError(median, ran)
	s.errs += e
	for i, f := range factors {
		if e <= math.Log(f.by)+1e-12 {
			s.within[i]++
		}
	}
	for i := range intervals {
		if d := l.ran(); d >= a.Low[i] && d <= a.High[i] {
			s.inside[i]++
		}
	}
	if l.ExpectS > 0 {
		s.owners++
		s.ownerErrs += logError(l.ExpectS, ran)
	}
	s.Points = append(s.Points, Point{l.Ended, ran, median, float64(a.Low[1]) / 1e6, float64(a.High[1]) / 1e6, l.ExpectS})
}

func (s *score) result() ClassResult {
	r := s.ClassResult
	r.Within, r.Coverage = map[string]float64{}, map[string]float64{}
	for i, f := range factors {
		r.Within[f.name] = share(s.within[i], r.WithKin)
	}
	for i, name := range intervals {
		r.Coverage[name] = share(s.inside[i], r.WithKin)
	}
	r.LogError, r.OwnerLogError = mean(s.errs, r.WithKin), mean(s.ownerErrs, s.owners)
	r.FirstSeen.Within2, r.FirstSeen.LogError = share(s.firstWithin, s.firstTold), mean(s.firstErrs, s.firstTold)
	return r
}

func share(n, of int) float64 { return mean(float64(n), of) }

func mean(sum float64, n int) float64 {
	if n == 0 {
		return 0
	}
	return math.Round(sum/float64(n)*1e4) / 1e4
}
