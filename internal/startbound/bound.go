// Package startbound computes an upper bound of the fraction of a workload's jobs that any scheduler could have started
// in time, given all arrivals in advance. The start-time attainment of a run is compared with this bound. It is an
// upper bound because machines are modelled as a single pool of GPUs, jobs may be split, and an array or a service
// counts as started with its first task.
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

// Job is an accepted job. Times are in seconds.
type Job struct {
	Class      string
	AcceptedAt float64
	Tasks      int
	GPUs       float64 // of each task
	RunS       float64
	Gang       bool
	Ends       bool // false for a service
}

// Workload is the jobs that arrived and the GPUs that were available in each period.
type Workload struct {
	PeriodS float64   // length of a period, in seconds
	WithinS float64   // time after its acceptance within which a job is to start, in seconds
	GPUs    []float64 // available GPUs, by period
	Jobs    []Job
}

// Bound is the result of Solve. StartShare holds, by class of gangs, the largest fraction such that this fraction of
// all jobs of the class and this fraction of its largest jobs could have started in time.
type Bound struct{ StartShare map[string]float64 }

// largestFraction is the fraction of a class's jobs that are counted as its largest jobs.
const largestFraction = 0.1

// group is a number of jobs of a class that are equivalent for the bound and arrived in the same period.
type group struct {
	class      string
	largest    bool
	tasks      int
	gpus       float64 // of each task
	runPeriods int
	arrival    int     // index of the period
	count      float64 // number of jobs
}

// gpusToStart returns the GPUs that a job of the group requires to start.
func (g *group) gpusToStart() float64 { return float64(g.tasks) * g.gpus }

// ErrTooLarge is returned by Solve for a workload with too many different jobs for the linear program.
var ErrTooLarge = errors.New("too many different jobs for the linear program")

// maxColumns is the maximum number of columns of the linear program, apart from that of the share.
const maxColumns = 6000

// Solve returns the bound for each class of gangs. Other jobs are assumed to have priority over gangs and to start on
// arrival, with one task.
func Solve(w *Workload) (Bound, error) {
	bound := Bound{StartShare: map[string]float64{}}
	if w.PeriodS <= 0 || w.WithinS <= 0 || len(w.GPUs) == 0 {
		return bound, fmt.Errorf(
			"start bound: period length (%v s), time to start (%v s) and number of periods (%d) must be positive",
			w.PeriodS, w.WithinS, len(w.GPUs))
	}
	free := slices.Clone(w.GPUs)
	gangs := map[string][]Job{}
	for _, j := range w.Jobs {
		if j.Gang {
			gangs[j.Class] = append(gangs[j.Class], j)
			continue
		}
		w.reserveFromArrival(free, &j)
	}
	// Classes are solved one by one, in ascending order of their GPU seconds, each with the GPUs that the previous
	// classes leave. So the bound of a class with a burst takes the regular work of the other classes into account.
	classes := slices.SortedFunc(maps.Keys(gangs), func(a, b string) int {
		return cmp.Or(cmp.Compare(gpuSeconds(gangs[a]), gpuSeconds(gangs[b])), cmp.Compare(a, b))
	})
	for _, class := range classes {
		share, used, err := w.solveClass(gangs[class], free)
		if err != nil {
			return bound, fmt.Errorf("start bound of class %s: %w", class, err)
		}
		bound.StartShare[class] = share
		for t := range free {
			free[t] = max(0, free[t]-used[t])
		}
	}
	return bound, nil
}

func gpuSeconds(jobs []Job) float64 {
	sum := 0.0
	for _, j := range jobs {
		sum += float64(j.Tasks) * j.GPUs * j.RunS
	}
	return sum
}

// reserveFromArrival subtracts the GPUs of a job that is not a gang from the free GPUs, from its arrival on. A job that
// ends uses those of one task for its run time, a service those of all its tasks until the last period.
func (w *Workload) reserveFromArrival(free []float64, j *Job) {
	first := int(j.AcceptedAt / w.PeriodS)
	end := len(free)
	gpus := j.GPUs
	if j.Ends {
		end = min(end, first+int(math.Ceil(j.RunS/w.PeriodS)))
	} else {
		gpus *= float64(j.Tasks)
	}
	for t := max(first, 0); t < end; t++ {
		free[t] = max(0, free[t]-gpus)
	}
}

// groupJobs groups the jobs of a class by size and arrival. All jobs are given the mean run time of the class, because
// users' estimates differ from job to job and would produce too many groups.
func (w *Workload) groupJobs(jobs []Job) []*group {
	minimumTasks := minimumTasksOfLargest(jobs)
	run := w.meanRunPeriods(jobs)
	byKey := map[group]*group{}
	var groups []*group
	for _, j := range jobs {
		key := group{
			class:      j.Class,
			largest:    j.Tasks >= minimumTasks,
			tasks:      j.Tasks,
			gpus:       j.GPUs,
			runPeriods: run,
			arrival:    int(j.AcceptedAt / w.PeriodS),
		}
		g := byKey[key]
		if g == nil {
			created := key
			g = &created
			byKey[key] = g
			groups = append(groups, g)
		}
		g.count++
	}
	slices.SortFunc(groups, func(a, b *group) int {
		return cmp.Or(
			cmp.Compare(a.arrival, b.arrival),
			cmp.Compare(a.tasks, b.tasks),
			cmp.Compare(a.runPeriods, b.runPeriods),
			cmp.Compare(a.gpus, b.gpus),
		)
	})
	return groups
}

// largestCount returns the number of jobs that are counted as the largest ones, of the given number of jobs.
func largestCount(jobs int) int { return max(1, int(float64(jobs)*largestFraction)) }

// minimumTasksOfLargest returns the number of tasks from which a job is counted as one of the largest.
func minimumTasksOfLargest(jobs []Job) int {
	sorted := slices.Clone(jobs)
	slices.SortStableFunc(sorted, func(a, b Job) int { return cmp.Compare(b.Tasks, a.Tasks) })
	return sorted[largestCount(len(sorted))-1].Tasks
}

func (w *Workload) meanRunPeriods(jobs []Job) int {
	sum := 0.0
	for _, j := range jobs {
		sum += j.RunS
	}
	return max(1, int(math.Round(sum/float64(len(jobs))/w.PeriodS)))
}

// column is a variable of the linear program: the number of jobs of a group that start in a period.
type column struct {
	*group
	start int // index of the period
}

// end returns the first period in which the jobs occupy no GPUs, at most periods.
func (c *column) end(periods int) int { return min(periods, c.start+c.runPeriods) }

// simplexTolerance is the tolerance of the linear program.
const simplexTolerance = 1e-9

// solveClass returns the largest share such that this share of all jobs of a class and of its largest jobs start in
// time without using more than the free GPUs in any period. It also returns the GPUs that are used in each period.
func (w *Workload) solveClass(jobs []Job, free []float64) (share float64, used []float64, err error) {
	groups := w.groupJobs(jobs)
	columns, err := w.columns(groups, len(free))
	if err != nil {
		return 0, nil, err
	}
	constraints, limits := buildConstraints(groups, columns, free)
	x, err := maximizeLast(constraints, limits)
	if err != nil {
		return 0, nil, err
	}
	used = make([]float64, len(free))
	for i, c := range columns {
		for t := c.start; t < c.end(len(free)); t++ {
			used[t] += x[i] * c.gpusToStart()
		}
	}
	return min(x[len(columns)], 1), used, nil
}

// columns returns a column for each group and each period in which its jobs would start in time. Its error is
// ErrTooLarge if there are more than maxColumns.
func (w *Workload) columns(groups []*group, periods int) ([]column, error) {
	within := int(w.WithinS / w.PeriodS)
	var columns []column
	for _, g := range groups {
		for t := g.arrival; t < min(periods, g.arrival+within); t++ {
			columns = append(columns, column{g, t})
		}
	}
	if len(columns) > maxColumns {
		return nil, ErrTooLarge
	}
	return columns, nil
}

// buildConstraints returns the constraints of the linear program. Each row requires a linear combination of the columns
// to be at most its limit:
//   - one row per period: the GPUs in use are at most the free ones;
//   - one row per group: the jobs that start are at most those of the group;
//   - one row for all jobs, and one for the largest ones: share times the number of jobs, minus the number of jobs that
//     start, is at most 0;
//   - the last row: the share, which is the last column, is at most 1.
func buildConstraints(groups []*group, columns []column, free []float64) (constraints *mat.Dense, limits []float64) {
	var (
		share      = len(columns)
		firstGroup = len(free)
		allRow     = firstGroup + len(groups)
		largestRow = allRow + 1
		shareRow   = allRow + 2
	)
	constraints = mat.NewDense(shareRow+1, share+1, nil)
	limits = make([]float64, shareRow+1)
	copy(limits, free)
	groupRow := map[*group]int{}
	all, largest := 0.0, 0.0
	for i, g := range groups {
		groupRow[g] = firstGroup + i
		limits[firstGroup+i] = g.count
		all += g.count
		if g.largest {
			largest += g.count
		}
	}
	for i, c := range columns {
		for t := c.start; t < c.end(len(free)); t++ {
			constraints.Set(t, i, c.gpusToStart())
		}
		constraints.Set(groupRow[c.group], i, 1)
		constraints.Set(allRow, i, -1)
		if c.largest {
			constraints.Set(largestRow, i, -1)
		}
	}
	constraints.Set(allRow, share, all)
	constraints.Set(largestRow, share, largest)
	constraints.Set(shareRow, share, 1)
	limits[shareRow] = 1
	return constraints, limits
}

// maximizeLast returns the non-negative values of the variables that maximize the last variable under the constraints.
// The program is solved in standard form: each row has a slack variable, and the slack variables are the initial basis.
func maximizeLast(constraints *mat.Dense, limits []float64) ([]float64, error) {
	rows, variables := constraints.Dims()
	cost := make([]float64, variables+rows)
	cost[variables-1] = -1
	standard := mat.NewDense(rows, len(cost), nil)
	standard.Slice(0, rows, 0, variables).(*mat.Dense).Copy(constraints)
	basis := make([]int, rows)
	for i := range rows {
		standard.Set(i, variables+i, 1)
		basis[i] = variables + i
	}
	_, x, err := lp.Simplex(cost, standard, limits, simplexTolerance, basis)
	return x, err
}
