// Package served counts which part of the jobs is served in time, so that a class, a team or
// the largest jobs of a class that starve are seen. It asks two questions of each job, each once,
// when the time for it is up. Has it begun, that is, has it had a place? And was it served: what
// ends by itself has to be done by then, a service to have places for all its replicas. A job
// that its user cancels doesn't count. Refused submissions are not known here: users' side counts
// them.
package served

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
	// least and times are how long a job has to be served: so many times its owner's
	// estimate, which is often wrong by half, and no less than a minute, what machines take
	// to boot.
	least = 60 * config.Second
	times = 4
	// mostKeys are counted apart in a bucket, and listed: users choose the names and sizes.
	mostKeys = 200
	// largest is the part of a class that counts as its largest jobs.
	largest = 0.1
)

// Key is what jobs are counted by.
type Key struct {
	Class, Team string
	Size        int
}

// Size is by which number a job of so many tasks is counted: the exact one up to 8, then in
// four steps from each power of two to the next.
func Size(tasks int) int {
	shift := max(0, bits.Len(uint(tasks))-3)
	return tasks >> shift << shift
}

// answer is what is known of one question about a job.
type answer struct {
	key Key
	due Micros
	yes bool
}

// Job is one that is counted.
type Job struct {
	out           bool // it is counted no more
	served, begun answer
}

type count struct{ jobs, yes int }

func (c count) plus(o count) count { return count{c.jobs + o.jobs, c.yes + o.yes} }

// Share is how many of the jobs whose time was up were served, or had begun.
type Share struct{ Jobs, Served int }

// Part is the share as a part of one.
func (s Share) Part() float64 { return float64(s.Served) / float64(max(s.Jobs, 1)) }

// Shares are those of the classes, of the teams, and of the largest tenth of each class.
type Shares struct{ Class, Team, Largest map[string]Share }

// question counts the answers to one, by when they were due.
type question map[Micros]map[Key]count

func (q question) add(a *answer, jobs, yes int) {
	at := a.due - a.due%bucket
	of := q[at]
	if of == nil {
		of = map[Key]count{}
		q[at] = of
	}
	if _, had := of[a.key]; !had && len(of) >= mostKeys {
		a.key = Key{}
	}
	of[a.key] = of[a.key].plus(count{jobs, yes})
}

// yes takes the answer; once its time is up that changes nothing.
func (q question) yes(now Micros, a *answer) {
	if !a.yes && now <= a.due {
		a.yes = true
		q.add(a, 0, 1)
	}
}

// drop takes the question back if it hasn't been judged.
func (q question) drop(now Micros, a *answer) {
	if now > a.due {
		return
	}
	yes := 0
	if a.yes {
		yes = -1
	}
	q.add(a, -1, yes)
}

func (q question) forget(now Micros) {
	maps.DeleteFunc(q, func(at Micros, _ map[Key]count) bool { return at+bucket <= now-Window })
}

// shares adds up what was due by now.
func (q question) shares(now Micros) Shares {
	q.forget(now)
	out := Shares{map[string]Share{}, map[string]Share{}, map[string]Share{}}
	add := func(to map[string]Share, name string, c count) {
		to[name] = Share{to[name].Jobs + c.jobs, to[name].Served + c.yes}
	}
	sizes := map[string]map[int]count{}
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

func bySize(of map[int]count, size int, c count) map[int]count {
	if of == nil {
		of = map[int]count{}
	}
	of[size] = of[size].plus(c)
	return of
}

// split parts the jobs of a class into the largest tenth, from some size on, and the rest.
func split(of map[int]count) (from int, top, rest count) {
	all := 0
	for _, c := range of {
		all += c.jobs
	}
	for _, size := range slices.Backward(slices.Sorted(maps.Keys(of))) {
		if float64(top.jobs) < largest*float64(all) {
			from, top = size, top.plus(of[size])
		} else {
			rest = rest.plus(of[size])
		}
	}
	return from, top, rest
}

// Tally counts.
type Tally struct {
	within        Micros // a job is to begin within
	served, begun question
}

// New returns a Tally of nothing. Jobs are to begin within some time.
func New(within Micros) *Tally {
	return &Tally{within: within, served: question{}, begun: question{}}
}

// Due is when a job that was accepted at some time is to be served by.
func Due(spec *wire.Job, created Micros) Micros {
	if spec.Shape == wire.Service {
		return created + least
	}
	long := max(least, times*config.FromSeconds(spec.EstimateS))
	if spec.DeadlineS != nil {
		long = max(long, config.FromSeconds(*spec.DeadlineS))
	}
	return created + long
}

// Accepted counts a job; nil: its time has been up for too long.
func (t *Tally) Accepted(now Micros, spec *wire.Job, created Micros) *Job {
	t.served.forget(now)
	t.begun.forget(now)
	key := Key{spec.Class, spec.Team, Size(spec.Tasks)}
	j := &Job{served: answer{key: key, due: Due(spec, created)}, begun: answer{key: key, due: created + t.within}}
	if max(j.served.due, j.begun.due) <= now-Window {
		return nil
	}
	t.served.add(&j.served, 1, 0)
	t.begun.add(&j.begun, 1, 0)
	return j
}

// Began hears that a job has had a place.
func (t *Tally) Began(now Micros, j *Job) {
	if j != nil && !j.out {
		t.begun.yes(now, &j.begun)
	}
}

// Served hears that a job is done, or has all its replicas.
func (t *Tally) Served(now Micros, j *Job) {
	if j != nil && !j.out {
		t.served.yes(now, &j.served)
	}
}

// Cancelled hears that a job's user wants it no more. What was judged stays as it was.
func (t *Tally) Cancelled(now Micros, j *Job) {
	if j == nil || j.out {
		return
	}
	t.served.drop(now, &j.served)
	t.begun.drop(now, &j.begun)
	j.out = true
}

// Shares tells what was served of what was judged within the window.
func (t *Tally) Shares(now Micros) Shares { return t.served.shares(now) }

// Begun tells what had begun of what was judged within the window.
func (t *Tally) Begun(now Micros) Shares { return t.begun.shares(now) }

// Class is how the jobs of a class fare that were accepted lately, whether their time is up
// or not.
type Class struct {
	LargestFrom   int // the size from which on a job counts among the largest
	Largest, Rest Share
}

// Classes tells so of every class, of the jobs accepted within twice the time that they have to
// begin.
func (t *Tally) Classes(now Micros) map[string]Class {
	sizes := map[string]map[int]count{}
	for at, of := range t.begun {
		if at+bucket <= now-t.within {
			continue
		}
		for k, c := range of {
			if c.jobs > 0 {
				sizes[k.Class] = bySize(sizes[k.Class], k.Size, c)
			}
		}
	}
	out := make(map[string]Class, len(sizes))
	for name, of := range sizes {
		from, top, rest := split(of)
		out[name] = Class{from, Share{top.jobs, top.yes}, Share{rest.jobs, rest.yes}}
	}
	return out
}

// trim puts those with fewest jobs under one name, "", when there are too many to read.
func trim(of map[string]Share) {
	if len(of) <= mostKeys {
		return
	}
	names := slices.SortedFunc(maps.Keys(of), func(a, b string) int {
		return cmp.Or(cmp.Compare(of[b].Jobs, of[a].Jobs), cmp.Compare(a, b))
	})
	for _, name := range names[mostKeys:] {
		s := of[name]
		delete(of, name)
		of[""] = Share{of[""].Jobs + s.Jobs, of[""].Served + s.Served}
	}
}
