package faulttest

import (
	"cmp"
	"slices"

	"coralhub/internal/invariants"
)

// beginWithin is how long a job may take to begin where an expectation doesn't say, in seconds.
const beginWithin = 240

// largestPart is the part of a class that counts as its largest jobs.
const largestPart = 0.1

// StartedInTime is which part of the jobs has begun in time, as users and machines saw it: by class, by
// team, and of the largest tenth of a class by tasks. One that was refused hasn't; one that its
// user cancelled before doesn't count, nor one that still had time when the run ended.
type StartedInTime struct {
	Class   map[string]float64 `json:"class"`
	Team    map[string]float64 `json:"team"`
	Largest map[string]float64 `json:"largest"`
}

// least is the smallest of all shares, of one class if it is named; 1 if there is none.
func (s *StartedInTime) least(class string) float64 {
	least := 1.0
	for _, of := range []map[string]float64{s.Class, s.Team, s.Largest} {
		for name, share := range of {
			if class == "" || name == class {
				least = min(least, share)
			}
		}
	}
	return least
}

// startedJob is a job as it counts for what was served.
type startedJob struct {
	id          string
	class, team string
	tasks       int
	in          bool
}

// served adds up which jobs have begun within so many seconds of their acceptance, or of their
// first submission where they weren't accepted.
func (r *run) served(fates map[string]*jobOutcome, end, within float64) (out StartedInTime, of int) {
	first := map[string]float64{}
	for _, e := range r.events {
		if e.Kind != invariants.TaskStarted {
			continue
		}
		if _, had := first[e.Job]; !had {
			first[e.Job] = float64(e.At) / 1e6
		}
	}
	zero := float64(r.from) / 1e6
	var all []startedJob
	for id, f := range fates {
		since := f.accepted
		if since < 0 {
			since = f.submitted
		}
		on, began := first[id]
		in := began && on-zero-since <= within
		if f.submitted < 0 || !in && (f.cancelled || end-since < within) {
			continue
		}
		all = append(all, startedJob{id, f.planned.class.Name, f.planned.class.Team, f.planned.job.Tasks, in})
	}
	return share3(all), len(all)
}

// share3 reckons the three kinds of shares.
func share3(all []startedJob) StartedInTime {
	out := StartedInTime{map[string]float64{}, map[string]float64{}, map[string]float64{}}
	byClass, byTeam := map[string][]startedJob{}, map[string][]startedJob{}
	for _, x := range all {
		byClass[x.class] = append(byClass[x.class], x)
		byTeam[x.team] = append(byTeam[x.team], x)
	}
	for name, of := range byClass {
		slices.SortFunc(of, func(a, b startedJob) int { return cmp.Or(cmp.Compare(b.tasks, a.tasks), cmp.Compare(a.id, b.id)) })
		out.Class[name] = partIn(of)
		out.Largest[name] = partIn(of[:max(1, int(float64(len(of))*largestPart))])
	}
	for name, of := range byTeam {
		out.Team[name] = partIn(of)
	}
	return out
}

func partIn(of []startedJob) float64 {
	n := 0
	for _, x := range of {
		if x.in {
			n++
		}
	}
	return float64(n) / float64(len(of))
}
