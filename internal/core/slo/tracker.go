// Package slo measures which share of the jobs meets its service level objectives, so that a class, a team or
// the largest jobs of a class that starve are noticed. Each job is judged once by each of two objectives, when
// its deadline for it has passed. Has it started, that is, has it had a placement? And has it completed: a job
// that ends by itself has to be done by then, a service to have all its replicas placed. A job that its
// user cancels before that doesn't count. Submissions that were refused are not known here: clients count
// them.
package slo

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"

	"coralhub/internal/config"
	"coralhub/wire"
)

// Micros is a time or a duration in whole microseconds; times of jobs are the time of day.
type Micros = config.Micros

const (
	// Window is the time over which jobs count, by their deadlines.
	Window = 10 * 60 * config.Second
	// bucketLength is the time over which deadlines are counted together.
	bucketLength = 10 * config.Second
	// minCompletionTime and completionFactor give the time that a job has to complete: so many times its
	// user's estimate, which is often wrong by half, and no less than a minute, which machines take to
	// boot.
	minCompletionTime = 60 * config.Second
	completionFactor  = 4
	// maxKeys bounds the number of keys in a bucket, and of names in an answer: users choose names and
	// sizes.
	maxKeys = 200
	// largestShare is the share of a class's jobs that counts as its largest ones.
	largestShare = 0.1
)

// Key is what jobs are counted by.
type Key struct {
	Class, Team string
	Size        int // as SizeBucket returns it
}

// SizeBucket returns the lower bound of the size bucket of a job with a number of tasks. Buckets are exact up to
// 8 tasks; from each power of two to the next there are four.
func SizeBucket(tasks int) int {
	shift := max(0, bits.Len(uint(tasks))-3)
	return tasks >> shift << shift
}

// outcome is whether a job meets one objective.
type outcome struct {
	key      Key
	deadline Micros
	met      bool
}

// Job is what a Tracker knows of a job.
type Job struct {
	cancelled          bool // it doesn't count any more
	completed, started outcome
}

// tally is a number of jobs and how many of them have met an objective.
type tally struct{ jobs, met int }

func (t tally) plus(other tally) tally { return tally{t.jobs + other.jobs, t.met + other.met} }

func (t tally) ratio() Ratio { return Ratio{t.jobs, t.met} }

// Ratio is a number of judged jobs and how many of them have met the objective.
type Ratio struct{ Jobs, Met int }

// Value is the share of jobs that have met the objective, 0 to 1.
func (r Ratio) Value() float64 { return float64(r.Met) / float64(max(r.Jobs, 1)) }

// plus returns the sum of two ratios' jobs.
func (r Ratio) plus(other Ratio) Ratio { return Ratio{r.Jobs + other.Jobs, r.Met + other.Met} }

// Attainment is the SLO attainment by class, by team, and of the largest tenth of each class.
type Attainment struct{ Class, Team, Largest map[string]Ratio }

// objective counts the outcomes of one objective, by the beginning of the bucket of their deadlines.
type objective map[Micros]map[Key]tally

// add adds to the numbers of jobs and of those that have met the objective.
func (o objective) add(result *outcome, jobs, met int) {
	at := result.deadline - result.deadline%bucketLength
	counts := o[at]
	if counts == nil {
		counts = map[Key]tally{}
		o[at] = counts
	}
	if _, exists := counts[result.key]; !exists && len(counts) >= maxKeys {
		result.key = Key{}
	}
	counts[result.key] = counts[result.key].plus(tally{jobs, met})
}

// meet records that a job meets the objective. After its deadline this changes nothing.
func (o objective) meet(now Micros, result *outcome) {
	if !result.met && now <= result.deadline {
		result.met = true
		o.add(result, 0, 1)
	}
}

// remove takes a job out of the counts unless its deadline has passed.
func (o objective) remove(now Micros, result *outcome) {
	if now > result.deadline {
		return
	}
	met := 0
	if result.met {
		met = -1
	}
	o.add(result, -1, met)
}

// expire removes the buckets before the window.
func (o objective) expire(now Micros) {
	maps.DeleteFunc(o, func(at Micros, _ map[Key]tally) bool { return at+bucketLength <= now-Window })
}

// attainment adds up the jobs whose deadlines have passed.
func (o objective) attainment(now Micros) Attainment {
	o.expire(now)
	out := Attainment{map[string]Ratio{}, map[string]Ratio{}, map[string]Ratio{}}
	sizes := sizeCounts{}
	for at, counts := range o {
		if at+bucketLength > now {
			continue
		}
		for key, t := range counts {
			if t.jobs <= 0 {
				continue
			}
			out.Class[key.Class] = out.Class[key.Class].plus(t.ratio())
			out.Team[key.Team] = out.Team[key.Team].plus(t.ratio())
			sizes.add(key, t)
		}
	}
	for class, bySize := range sizes {
		_, largest, _ := splitLargest(bySize)
		out.Largest[class] = largest.ratio()
	}
	mergeSmallest(out.Class)
	mergeSmallest(out.Team)
	mergeSmallest(out.Largest)
	return out
}

// sizeCounts counts the jobs of each class by size bucket.
type sizeCounts map[string]map[int]tally

func (sc sizeCounts) add(key Key, t tally) {
	bySize := sc[key.Class]
	if bySize == nil {
		bySize = map[int]tally{}
		sc[key.Class] = bySize
	}
	bySize[key.Size] = bySize[key.Size].plus(t)
}

// splitLargest divides the jobs of a class into the largest tenth, from some size bucket on, and the rest.
func splitLargest(bySize map[int]tally) (from int, largest, rest tally) {
	jobs := 0
	for _, t := range bySize {
		jobs += t.jobs
	}
	for _, size := range slices.Backward(slices.Sorted(maps.Keys(bySize))) {
		if float64(largest.jobs) < largestShare*float64(jobs) {
			from, largest = size, largest.plus(bySize[size])
		} else {
			rest = rest.plus(bySize[size])
		}
	}
	return from, largest, rest
}

// mergeSmallest merges the entries with the fewest jobs under the name "" when there are too many to read.
func mergeSmallest(ratios map[string]Ratio) {
	if len(ratios) <= maxKeys {
		return
	}
	names := slices.SortedFunc(maps.Keys(ratios), func(a, b string) int {
		return cmp.Or(cmp.Compare(ratios[b].Jobs, ratios[a].Jobs), cmp.Compare(a, b))
	})
	for _, name := range names[maxKeys:] {
		merged := ratios[name]
		delete(ratios, name)
		ratios[""] = ratios[""].plus(merged)
	}
}

// Tracker measures the SLO attainment of the jobs whose events are recorded with it. It is not safe for concurrent use.
type Tracker struct {
	startWithin        Micros // time that a job has to start
	completed, started objective
}

// New returns a Tracker that knows of no jobs. They have to start within a time from their acceptance on.
func New(startWithin Micros) *Tracker {
	return &Tracker{startWithin: startWithin, completed: objective{}, started: objective{}}
}

// CompletionDeadline returns by when a job that was accepted at a time has to complete.
func CompletionDeadline(spec *wire.Job, created Micros) Micros {
	if spec.Shape == wire.Service {
		return created + minCompletionTime
	}
	within := max(minCompletionTime, completionFactor*config.FromSeconds(spec.EstimateS))
	if spec.DeadlineS != nil {
		within = max(within, config.FromSeconds(*spec.DeadlineS))
	}
	return created + within
}

// JobAccepted counts a job that was accepted at a time; nil: its deadlines have passed for longer than the window.
func (t *Tracker) JobAccepted(now Micros, spec *wire.Job, created Micros) *Job {
	t.completed.expire(now)
	t.started.expire(now)
	key := Key{spec.Class, spec.Team, SizeBucket(spec.Tasks)}
	j := &Job{
		completed: outcome{key: key, deadline: CompletionDeadline(spec, created)},
		started:   outcome{key: key, deadline: created + t.startWithin},
	}
	if max(j.completed.deadline, j.started.deadline) <= now-Window {
		return nil
	}
	t.completed.add(&j.completed, 1, 0)
	t.started.add(&j.started, 1, 0)
	return j
}

// JobStarted records that a job has had a placement. The job may be nil.
func (t *Tracker) JobStarted(now Micros, j *Job) {
	if j != nil && !j.cancelled {
		t.started.meet(now, &j.started)
	}
}

// JobCompleted records that a job is done, or has all its replicas placed. The job may be nil.
func (t *Tracker) JobCompleted(now Micros, j *Job) {
	if j != nil && !j.cancelled {
		t.completed.meet(now, &j.completed)
	}
}

// JobCancelled records that a job was cancelled by its user. Objectives whose deadline has passed still count. The
// job may be nil.
func (t *Tracker) JobCancelled(now Micros, j *Job) {
	if j == nil || j.cancelled {
		return
	}
	t.completed.remove(now, &j.completed)
	t.started.remove(now, &j.started)
	j.cancelled = true
}

// CompletedInTime returns which jobs have completed in time, of those whose deadlines have passed within the
// window.
func (t *Tracker) CompletedInTime(now Micros) Attainment { return t.completed.attainment(now) }

// StartedInTime returns which jobs have started in time, of those whose deadlines have passed within the window.
func (t *Tracker) StartedInTime(now Micros) Attainment { return t.started.attainment(now) }

// ClassStarts is how many jobs of a class that were accepted lately have started, whether their deadlines have
// passed or not.
type ClassStarts struct {
	LargestBucket int // size bucket from which on a job counts among the largest
	Largest, Rest Ratio
}

// Classes returns the ClassStarts of every class, of the jobs that were accepted within twice the time that they
// have to start.
func (t *Tracker) Classes(now Micros) map[string]ClassStarts {
	sizes := sizeCounts{}
	for at, counts := range t.started {
		if at+bucketLength <= now-t.startWithin {
			continue
		}
		for key, t := range counts {
			if t.jobs > 0 {
				sizes.add(key, t)
			}
		}
	}
	out := make(map[string]ClassStarts, len(sizes))
	for class, bySize := range sizes {
		from, largest, rest := splitLargest(bySize)
		out[class] = ClassStarts{from, largest.ratio(), rest.ratio()}
	}
	return out
}
