// Package slo counts which part of the jobs is served in time, so that a class, a team or
// the largest jobs of a class that starve are seen. It asks two questions of each job, each once,
// when the time for it is up. Has it begun, that is, has it had a place? And was it served: what
// ends by itself has to be done by then, a service to have places for all its replicas. A job
// that its user cancels doesn't count. Refused submissions are not known here: users' side counts
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
	// Window is over how long jobs are counted, by when their time is up.
	Window = 10 * 60 * config.Second
	bucket = 10 * config.Second
	// minCompletionTime and times are how long a job has to be served: so many times its owner's
	// estimate, which is often wrong by half, and no less than a minute, what machines take
	// to boot.
	minCompletionTime = 60 * config.Second
	completionFactor  = 4
	// maxKeys are counted apart in a bucket, and listed: users choose the names and sizes.
	maxKeys = 200
	// largestShare is the part of a class that counts as its largest jobs.
	largestShare = 0.1
)

// Key is what jobs are counted by.
type Key struct {
	Class, Team string
	Size        int
}

// SizeBucket is by which number a job of so many tasks is counted: the exact one up to 8, then in
// four steps from each power of two to the next.
func SizeBucket(tasks int) int {
	shift := max(0, bits.Len(uint(tasks))-3)
	return tasks >> shift << shift
}

// outcome is what is known of one question about a job.
type outcome struct {
	key      Key
	deadline Micros
	met      bool
}

// Job is one that is counted.
type Job struct {
	out                bool // it is counted no more
	completed, started outcome
}

type tally struct{ jobs, met int }

func (c tally) plus(o tally) tally { return tally{c.jobs + o.jobs, c.met + o.met} }

// Ratio is how many of the jobs whose time was up were served, or had begun.
type Ratio struct{ Jobs, Met int }

// Value is the share as a part of one.
func (s Ratio) Value() float64 { return float64(s.Met) / float64(max(s.Jobs, 1)) }

// Attainment are those of the classes, of the teams, and of the largest tenth of each class.
type Attainment struct{ Class, Team, Largest map[string]Ratio }

// objective counts the answers to one, by when they were due.
type objective map[Micros]map[Key]tally

func (q objective) add(a *outcome, jobs, yes int) {
	at := a.deadline - a.deadline%bucket
	of := q[at]
	if of == nil {
		of = map[Key]tally{}
		q[at] = of
	}
	if _, had := of[a.key]; !had && len(of) >= maxKeys {
		a.key = Key{}
	}
	of[a.key] = of[a.key].plus(tally{jobs, yes})
}

// met takes the answer; once its time is up that changes nothing.
func (q objective) met(now Micros, a *outcome) {
	if !a.met && now <= a.deadline {
		a.met = true
		q.add(a, 0, 1)
	}
}

// remove takes the question back if it hasn't been judged.
func (q objective) remove(now Micros, a *outcome) {
	if now > a.deadline {
		return
	}
	yes := 0
	if a.met {
		yes = -1
	}
	q.add(a, -1, yes)
}

func (q objective) expire(now Micros) {
	maps.DeleteFunc(q, func(at Micros, _ map[Key]tally) bool { return at+bucket <= now-Window })
}

// attainment adds up what was due by now.
func (q objective) attainment(now Micros) Attainment {
	q.expire(now)
	out := Attainment{map[string]Ratio{}, map[string]Ratio{}, map[string]Ratio{}}
	add := func(to map[string]Ratio, name string, c tally) {
		to[name] = Ratio{to[name].Jobs + c.jobs, to[name].Met + c.met}
	}
	sizes := map[string]map[int]tally{}
	for at, of := range q {
		if at+bucket > now {
			continue
		}
		for k, c := range of {
			if c.jobs <= 0 {
				continue
			}
			add(out.Class, k.Class, c)
			add(out.Team, k.Team, c)
			sizes[k.Class] = bySize(sizes[k.Class], k.Size, c)
		}
	}
	for class, of := range sizes {
		_, top, _ := split(of)
		add(out.Largest, class, top)
	}
	trim(out.Class)
	trim(out.Team)
	trim(out.Largest)
	return out
}

func bySize(of map[int]tally, size int, c tally) map[int]tally {
	if of == nil {
		of = map[int]tally{}
	}
	of[size] = of[size].plus(c)
	return of
}

// split parts the jobs of a class into the largest tenth, from some size on, and the rest.
func split(of map[int]tally) (from int, top, rest tally) {
	all := 0
	for _, c := range of {
		all += c.jobs
	}
	for _, size := range slices.Backward(slices.Sorted(maps.Keys(of))) {
		if float64(top.jobs) < largestShare*float64(all) {
			from, top = size, top.plus(of[size])
		} else {
			rest = rest.plus(of[size])
		}
	}
	return from, top, rest
}

// Tracker counts.
type Tracker struct {
	within             Micros // a job is to begin within
	completed, started objective
}

// New returns a Tally of nothing. Jobs are to begin within some time.
func New(within Micros) *Tracker {
	return &Tracker{within: within, completed: objective{}, started: objective{}}
}

// CompletionDeadline is when a job that was accepted at some time is to be served by.
func CompletionDeadline(spec *wire.Job, created Micros) Micros {
	if spec.Shape == wire.Service {
		return created + minCompletionTime
	}
	long := max(minCompletionTime, completionFactor*config.FromSeconds(spec.EstimateS))
	if spec.DeadlineS != nil {
		long = max(long, config.FromSeconds(*spec.DeadlineS))
	}
	return created + long
}

// JobAccepted counts a job; nil: its time has been up for too long.
func (t *Tracker) JobAccepted(now Micros, spec *wire.Job, created Micros) *Job {
	t.completed.expire(now)
	t.started.expire(now)
	key := Key{spec.Class, spec.Team, SizeBucket(spec.Tasks)}
	j := &Job{completed: outcome{key: key, deadline: CompletionDeadline(spec, created)}, started: outcome{key: key, deadline: created + t.within}}
	if max(j.completed.deadline, j.started.deadline) <= now-Window {
		return nil
	}
	t.completed.add(&j.completed, 1, 0)
	t.started.add(&j.started, 1, 0)
	return j
}

// JobStarted hears that a job has had a place.
func (t *Tracker) JobStarted(now Micros, j *Job) {
	if j != nil && !j.out {
		t.started.met(now, &j.started)
	}
}

// JobCompleted hears that a job is done, or has all its replicas.
func (t *Tracker) JobCompleted(now Micros, j *Job) {
	if j != nil && !j.out {
		t.completed.met(now, &j.completed)
	}
}

// JobCancelled hears that a job's user wants it no more. What was judged stays as it was.
func (t *Tracker) JobCancelled(now Micros, j *Job) {
	if j == nil || j.out {
		return
	}
	t.completed.remove(now, &j.completed)
	t.started.remove(now, &j.started)
	j.out = true
}

// CompletedInTime tells what was served of what was judged within the window.
func (t *Tracker) CompletedInTime(now Micros) Attainment { return t.completed.attainment(now) }

// StartedInTime tells what had begun of what was judged within the window.
func (t *Tracker) StartedInTime(now Micros) Attainment { return t.started.attainment(now) }

// ClassStarts is how the jobs of a class fare that were accepted lately, whether their time is up
// or not.
type ClassStarts struct {
	LargestBucket int // the size from which on a job counts among the largest
	Largest, Rest Ratio
}

// Classes tells so of every class, of the jobs accepted within twice the time that they have to
// begin.
func (t *Tracker) Classes(now Micros) map[string]ClassStarts {
	sizes := map[string]map[int]tally{}
	for at, of := range t.started {
		if at+bucket <= now-t.within {
			continue
		}
		for k, c := range of {
			if c.jobs > 0 {
				sizes[k.Class] = bySize(sizes[k.Class], k.Size, c)
			}
		}
	}
	out := make(map[string]ClassStarts, len(sizes))
	for name, of := range sizes {
		from, top, rest := split(of)
		out[name] = ClassStarts{from, Ratio{top.jobs, top.met}, Ratio{rest.jobs, rest.met}}
	}
	return out
}

// trim puts those with fewest jobs under one name, "", when there are too many to read.
func trim(of map[string]Ratio) {
	if len(of) <= maxKeys {
		return
	}
	names := slices.SortedFunc(maps.Keys(of), func(a, b string) int {
		return cmp.Or(cmp.Compare(of[b].Jobs, of[a].Jobs), cmp.Compare(a, b))
	})
	for _, name := range names[maxKeys:] {
		s := of[name]
		delete(of, name)
		of[""] = Ratio{of[""].Jobs + s.Jobs, of[""].Met + s.Met}
	}
}
