// Package served counts which part of the jobs of each class and team is served in time, so
// that a class or team that starves is seen. A job is judged once, when its time is up: what
// ends by itself has to be done by then, a service to have places for all its replicas. One that
// its user cancels doesn't count. Refused submissions are not known here: users' side counts them.
package served

import (
	"cmp"
	"maps"
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
	// least and times are how long a job has: so many times its owner's estimate, which is
	// often wrong by half, and no less than a minute, what machines take to boot.
	least = 60 * config.Second
	times = 4
	// mostKeys are counted apart in a bucket: users choose the names.
	mostKeys = 200
)

// Key is whose job it is.
type Key struct{ Class, Team string }

// Job is one that is counted.
type Job struct {
	key    Key
	due    Micros
	out    bool // it is counted no more
	served bool
}

type count struct{ jobs, served int }

// Share is how many of the jobs whose time was up were served.
type Share struct{ Jobs, Served int }

// Part is the share as a part of one.
func (s Share) Part() float64 { return float64(s.Served) / float64(max(s.Jobs, 1)) }

// Tally counts.
type Tally struct{ buckets map[Micros]map[Key]count }

// New returns a Tally of nothing.
func New() *Tally { return &Tally{buckets: map[Micros]map[Key]count{}} }

// Due is when a job that was accepted at some time is judged.
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

func (t *Tally) add(j *Job, jobs, served int) {
	at := j.due - j.due%bucket
	of := t.buckets[at]
	if of == nil {
		of = map[Key]count{}
		t.buckets[at] = of
	}
	if _, had := of[j.key]; !had && len(of) >= mostKeys {
		j.key = Key{}
	}
	c := of[j.key]
	of[j.key] = count{c.jobs + jobs, c.served + served}
}

// Accepted counts a job; nil: its time has been up for too long.
func (t *Tally) Accepted(now Micros, spec *wire.Job, created Micros) *Job {
	t.forget(now)
	j := &Job{key: Key{spec.Class, spec.Team}, due: Due(spec, created)}
	if j.due <= now-Window {
		return nil
	}
	t.add(j, 1, 0)
	return j
}

// Served hears that a job is done, or has all its replicas. Once its time is up that changes
// nothing.
func (t *Tally) Served(now Micros, j *Job) {
	if j == nil || j.out || j.served || now > j.due {
		return
	}
	j.served = true
	t.add(j, 0, 1)
}

// Cancelled hears that a job's user wants it no more. One that was judged stays as it was.
func (t *Tally) Cancelled(now Micros, j *Job) {
	if j == nil || j.out || now > j.due {
		return
	}
	j.out = true
	if j.served {
		t.add(j, -1, -1)
		return
	}
	t.add(j, -1, 0)
}

// Shares adds up what was judged within the window.
func (t *Tally) Shares(now Micros) (classes, teams map[string]Share) {
	t.forget(now)
	classes, teams = map[string]Share{}, map[string]Share{}
	add := func(to map[string]Share, name string, c count) {
		s := to[name]
		to[name] = Share{s.Jobs + c.jobs, s.Served + c.served}
	}
	for at, of := range t.buckets {
		if at+bucket > now {
			continue
		}
		for k, c := range of {
			if c.jobs > 0 {
				add(classes, k.Class, c)
				add(teams, k.Team, c)
			}
		}
	}
	trim(classes)
	trim(teams)
	return classes, teams
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

func (t *Tally) forget(now Micros) {
	maps.DeleteFunc(t.buckets, func(at Micros, _ map[Key]count) bool { return at+bucket <= now-Window })
}
