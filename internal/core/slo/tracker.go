// Package slo measures the share of jobs that meet their service level objectives, to reveal the starvation of
// a class, of a team or of the largest jobs of a class. Each job is evaluated once against each of two
// objectives, when its deadline for that objective has passed. A job meets the first objective if it has
// started, that is, has had a placement. It meets the second if it has completed: a service must have all its
// replicas placed by the deadline, any other job must be done. A job that its user cancels before the deadline
// is not counted. Refused submissions are not known to this package; clients count them.
package slo

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"

	"coralhub/internal/config"
	"coralhub/wire"
)

// Micros is a time or a duration in whole microseconds. Times of jobs are times of day.
type Micros = config.Micros

const (
	// Window is the period over which jobs are counted, by their deadlines.
	Window = 10 * 60 * config.Second
	// bucketLength is the length of the buckets in which jobs are counted by their deadlines.
	bucketLength = 10 * config.Second
	// minCompletionTime and completionFactor determine the time that a job has to complete: a multiple of
	// its user's estimate, which is often wrong by half, but at least the minute that machines take to
	// boot.
	minCompletionTime = 60 * config.Second
	completionFactor  = 4
	// maxKeys bounds the number of keys in a bucket and the number of names in an answer, because users
	// choose names and sizes.
	maxKeys = 200
	// largestShare is the share of a class's jobs that counts as its largest ones.
	largestShare = 0.1
)

// Key is the key by which jobs are counted.
type Key struct {
	Class, Team string
	Size        int // as SizeBucket returns it
}

// SizeBucket returns the lower bound of the size bucket of a job with a number of tasks. Up to 8 tasks, each
// number has its own bucket; above, there are four buckets from each power of two to the next.
func SizeBucket(tasks int) int {
	shift := max(0, bits.Len(uint(tasks))-3)
	return tasks >> shift << shift
}

// outcome is the outcome of one objective of a job.
type outcome struct {
	key      Key
	deadline Micros
	met      bool
}

// Job is a Tracker's state of a job.
type Job struct {
	cancelled          bool // set by JobCancelled: later events have no effect
	completed, started outcome
}

// jobCounts is a number of jobs and the number of those that have met an objective.
type jobCounts struct{ jobs, met int }

func (t jobCounts) plus(other jobCounts) jobCounts {
	return jobCounts{t.jobs + other.jobs, t.met + other.met}
}

func (t jobCounts) ratio() Ratio { return Ratio{t.jobs, t.met} }

// Ratio is a number of evaluated jobs and the number of those that have met the objective.
type Ratio struct{ Jobs, Met int }

// Value returns the share of jobs that have met the objective, from 0 to 1. It is 0 if there are no jobs.
func (r Ratio) Value() float64 { return float64(r.Met) / float64(max(r.Jobs, 1)) }

// plus returns the sum of two ratios' jobs.
func (r Ratio) plus(other Ratio) Ratio { return Ratio{r.Jobs + other.Jobs, r.Met + other.Met} }

// Attainment is the SLO attainment by class, by team, and of the largest tenth of each class.
type Attainment struct{ Class, Team, Largest map[string]Ratio }

// objective counts the outcomes of one objective, by the start of the bucket that contains their deadlines.
type objective map[Micros]map[Key]jobCounts

// add adds to the number of jobs and to the number of those that have met the objective. A new key in a full bucket is
// replaced by the empty one.
func (o objective) add(result *outcome, jobs, met int) {
	at := result.deadline - result.deadline%bucketLength
	counts := o[at]
	if counts == nil {
		counts = map[Key]jobCounts{}
		o[at] = counts
	}
	if _, exists := counts[result.key]; !exists && len(counts) >= maxKeys {
		result.key = Key{}
	}
	counts[result.key] = counts[result.key].plus(jobCounts{jobs, met})
}

// recordMet records that a job meets the objective. It has no effect after the deadline.
func (o objective) recordMet(now Micros, result *outcome) {
	if !result.met && now <= result.deadline {
		result.met = true
		o.add(result, 0, 1)
	}
}

// remove removes a job from the counts unless its deadline has passed.
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
	maps.DeleteFunc(o, func(at Micros, _ map[Key]jobCounts) bool { return at+bucketLength <= now-Window })
}

// attainment sums up the jobs whose deadlines have passed.
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
type sizeCounts map[string]map[int]jobCounts

func (sc sizeCounts) add(key Key, t jobCounts) {
	bySize := sc[key.Class]
	if bySize == nil {
		bySize = map[int]jobCounts{}
		sc[key.Class] = bySize
	}
	bySize[key.Size] = bySize[key.Size].plus(t)
}

// splitLargest divides the jobs of a class into the largest tenth and the rest. It also returns the smallest size
// bucket of the largest tenth.
func splitLargest(bySize map[int]jobCounts) (from int, largest, rest jobCounts) {
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

// mergeSmallest merges the entries with the fewest jobs under the name "" if there are more than maxKeys, which would
// be too many to read.
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

// New returns a Tracker without jobs. Jobs have to start within startWithin of their acceptance.
func New(startWithin Micros) *Tracker {
	return &Tracker{startWithin: startWithin, completed: objective{}, started: objective{}}
}

// CompletionDeadline returns the time by which a job that was accepted at a time has to complete.
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

// JobAccepted counts a job that was accepted at a time. It returns nil if both deadlines of the job are before the
// window.
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

// JobStarted records that a job has had a placement. j may be nil.
func (t *Tracker) JobStarted(now Micros, j *Job) {
	if j != nil && !j.cancelled {
		t.started.recordMet(now, &j.started)
	}
}

// JobCompleted records that a job is done, or has all its replicas placed. j may be nil.
func (t *Tracker) JobCompleted(now Micros, j *Job) {
	if j != nil && !j.cancelled {
		t.completed.recordMet(now, &j.completed)
	}
}

// JobCancelled records that a job was cancelled by its user. Objectives whose deadline has passed remain counted.
// j may be nil.
func (t *Tracker) JobCancelled(now Micros, j *Job) {
	if j == nil || j.cancelled {
		return
	}
	t.completed.remove(now, &j.completed)
	t.started.remove(now, &j.started)
	j.cancelled = true
}

// CompletedInTime returns how many jobs have completed in time, of those whose deadlines have passed within the
// window.
func (t *Tracker) CompletedInTime(now Micros) Attainment { return t.completed.attainment(now) }

// StartedInTime returns how many jobs have started in time, of those whose deadlines have passed within the window.
func (t *Tracker) StartedInTime(now Micros) Attainment { return t.started.attainment(now) }

// ClassStarts counts the recently accepted jobs of a class and those of them that have started, whether or not their
// deadlines have passed.
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
