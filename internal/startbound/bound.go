// Package startbound reckons which part of the jobs of a day anyone could have begun in time, with
// all that comes known from the start: the bound that what was served is held against. It is an
// upper bound: machines are one pool of GPUs, jobs may be parted, and an array or a service has begun
// with its first task and needs no more.
package startbound

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// Job is a job that was accepted. Times are in seconds.
type Job struct {
	Class string
	At    float64
	Tasks int
	GPUs  float64 // of a task
	RunS  float64
	Gang  bool
	Ends  bool // a service doesn't
}

// Workload is what came, and the GPUs there were, period by period.
type Workload struct {
	PeriodS float64
	WithinS float64 // a job is to begin within
	GPUs    []float64
	Jobs    []Job
}

// Bound is the largest share that every lane of a class could have had at the same time, the
// largest tenth of its jobs and the others.
type Bound struct{ StartShare map[string]float64 }

// largestFraction is the part of a class that counts as its largest jobs.
const largestFraction = 0.1

// group is jobs that are alike, and came in the same period.
type group struct {
	class      string
	largest    bool
	tasks      int
	gpus       float64
	runPeriods int // periods
	arrival    int // period
	count      float64
}

// gpusToStart is what one of the group takes to begin.
func (g *group) gpusToStart() float64 { return float64(g.tasks) * g.gpus }

// ErrTooLarge tells that a day has too many kinds of jobs for its bound to be reckoned.
var ErrTooLarge = errors.New("too many kinds of jobs")

// maxColumns bounds the linear program.
const maxColumns = 6000

// Solve returns the bound of a day for each class of gangs; what isn't a gang begins first, with
// one task.
func Solve(d *Workload) (Bound, error) {
	out := Bound{StartShare: map[string]float64{}}
	if d.PeriodS <= 0 || d.WithinS <= 0 || len(d.GPUs) == 0 {
		return out, fmt.Errorf("planner: a day needs periods, a time to begin and machines")
	}
	free := slices.Clone(d.GPUs)
	byClass := map[string][]Job{}
	for _, j := range d.Jobs {
		if j.Gang {
			byClass[j.Class] = append(byClass[j.Class], j)
			continue
		}
		d.startAtOnce(free, &j)
	}
	// Classes are reckoned one by one, each as if it had what the others leave it that don't
	// wait: the bound of one flood beside ordinary work. The least demanding come first.
	names := slices.SortedFunc(maps.Keys(byClass), func(a, b string) int {
		return cmp.Or(cmp.Compare(gpuSeconds(byClass[a]), gpuSeconds(byClass[b])), cmp.Compare(a, b))
	})
	for _, name := range names {
		share, used, err := d.solveClass(byClass[name], free)
		if err != nil {
			return out, fmt.Errorf("planner: class %s: %w", name, err)
		}
		out.StartShare[name] = share
		for t := range free {
			free[t] = max(0, free[t]-used[t])
		}
	}
	return out, nil
}

func gpuSeconds(jobs []Job) float64 {
	sum := 0.0
	for _, j := range jobs {
		sum += float64(j.Tasks) * j.GPUs * j.RunS
	}
	return sum
}

// startAtOnce has a job that is no gang begin when it comes.
func (d *Workload) startAtOnce(free []float64, j *Job) {
	first := int(j.At / d.PeriodS)
	last := len(free)
	amount := j.GPUs
	if j.Ends {
		last = min(last, first+int(math.Ceil(j.RunS/d.PeriodS)))
	} else {
		amount *= float64(j.Tasks)
	}
	for t := max(first, 0); t < last; t++ {
		free[t] = max(0, free[t]-amount)
	}
}

// groupJobs puts jobs that are alike together.
func (d *Workload) groupJobs(jobs []Job) []*group {
	sorted := slices.Clone(jobs)
	slices.SortStableFunc(sorted, func(a, b Job) int { return cmp.Compare(b.Tasks, a.Tasks) })
	top := max(1, int(float64(len(sorted))*largestFraction))
	least := sorted[top-1].Tasks
	// Owners' estimates differ from job to job: alike are those of a size and of a period, and
	// all run for as long as the class does on average.
	sum := 0.0
	for _, j := range jobs {
		sum += j.RunS
	}
	run := max(1, int(math.Round(sum/float64(len(jobs))/d.PeriodS)))
	byKey := map[group]*group{}
	var out []*group
	for _, j := range jobs {
		k := group{class: j.Class, largest: j.Tasks >= least, tasks: j.Tasks, gpus: j.GPUs,
			runPeriods: run, arrival: int(j.At / d.PeriodS)}
		g := byKey[k]
		if g == nil {
			c := k
			g = &c
			byKey[k] = g
			out = append(out, g)
		}
		g.count++
	}
	slices.SortFunc(out, func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.arrival, b.arrival), cmp.Compare(a.tasks, b.tasks), cmp.Compare(a.runPeriods, b.runPeriods), cmp.Compare(a.gpus, b.gpus))
	})
	return out
}

// column is how many of a group begin in a period.
type column struct {
	*group
	start int
}

// solveClass solves for one class: as large a share z as possible, such that z of its largest jobs and z
// of all of them begin in time and no more runs in any period than there are GPUs. It returns the
// share and what it takes of each period.
func (d *Workload) solveClass(jobs []Job, free []float64) (float64, []float64, error) {
	groups := d.groupJobs(jobs)
	within := int(d.WithinS / d.PeriodS)
	var cols []column
	for _, g := range groups {
		for q := g.arrival; q < min(len(free), g.arrival+within); q++ {
			cols = append(cols, column{g, q})
		}
	}
	if len(cols) > maxColumns {
		return 0, nil, ErrTooLarge
	}
	all, top := 0.0, 0.0
	for _, g := range groups {
		all += g.count
		if g.largest {
			top += g.count
		}
	}
	// Rows, all of the kind "at most": GPUs of each period, jobs of each group, and the two
	// lanes: z times the jobs less those that begin is at most nothing. The last column is z.
	z := len(cols)
	rows := len(free) + len(groups) + 2
	g, h := mat.NewDense(rows+1, z+1, nil), make([]float64, rows+1)
	at := map[*group]int{}
	for i, x := range groups {
		at[x] = len(free) + i
		h[at[x]] = x.count
	}
	for i, c := range cols {
		for t := c.start; t < min(len(free), c.start+c.runPeriods); t++ {
			g.Set(t, i, c.gpusToStart())
		}
		g.Set(at[c.group], i, 1)
		g.Set(rows-2, i, -1)
		if c.largest {
			g.Set(rows-1, i, -1)
		}
	}
	copy(h, free)
	g.Set(rows-2, z, all)
	g.Set(rows-1, z, top)
	g.Set(rows, z, 1)
	h[rows] = 1
	// The standard form has a slack for each row, and starts with all of them.
	cost := make([]float64, z+1+rows+1)
	cost[z] = -1
	a := mat.NewDense(rows+1, len(cost), nil)
	a.Slice(0, rows+1, 0, z+1).(*mat.Dense).Copy(g)
	basis := make([]int, rows+1)
	for i := range rows + 1 {
		a.Set(i, z+1+i, 1)
		basis[i] = z + 1 + i
	}
	_, x, err := lp.Simplex(cost, a, h, 1e-9, basis)
	if err != nil {
		return 0, nil, err
	}
	used := make([]float64, len(free))
	for i, c := range cols {
		for t := c.start; t < min(len(free), c.start+c.runPeriods); t++ {
			used[t] += x[i] * c.gpusToStart()
		}
	}
	return min(x[z], 1), used, nil
}
