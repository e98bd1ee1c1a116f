package faulttest

import (
	"cmp"
	"slices"

	"coralhub/internal/invariants"
)

// startWithin is how long a job may take to start where an expectation doesn't say, in seconds.
const startWithin = 240

// largestPart is the share of a class that counts as its largest jobs.
const largestPart = 0.1

// StartedInTime is the SLO attainment of a run: the shares of jobs that started in time, as users and
// machines saw it, by class, by team, and of the largest tenth of each class by tasks. A job that was
// refused has not started in time; one that its user cancelled before it started doesn't count, nor
// one that still had time when the run ended.
type StartedInTime struct {
	Class   map[string]float64 `json:"class"`
	Team    map[string]float64 `json:"team"`
	Largest map[string]float64 `json:"largest"`
}

// least is the smallest of all shares, or of those under one name if it is given; 1 if there is none.
func (s *StartedInTime) least(name string) float64 {
	least := 1.0
	for _, shares := range []map[string]float64{s.Class, s.Team, s.Largest} {
		for of, share := range shares {
			if name == "" || of == name {
				least = min(least, share)
			}
		}
	}
	return least
}

// startedJob is a job that counts for StartedInTime.
type startedJob struct {
	id     string
	class  string
	team   string
	tasks  int
	inTime bool
}

// startedInTime evaluates which jobs started within so many seconds of their acceptance, or of their
// first submission where they weren't accepted, and counts the jobs that it goes by.
func (e *evaluation) startedInTime(within float64) (shares StartedInTime, jobs int) {
	firstStart := e.firstStarts()
	var counted []startedJob
	for id, o := range e.outcomes {
		since := o.accepted
		if since < 0 {
			since = o.submitted
		}
		started, hasStarted := firstStart[id]
		inTime := hasStarted && started-inSeconds(e.from)-since <= within
		undecided := o.cancelled || e.end-since < within
		if o.submitted < 0 || !inTime && undecided {
			continue
		}
		counted = append(counted, startedJob{
			id:     id,
			class:  o.planned.class.Name,
			team:   o.planned.class.Team,
			tasks:  o.planned.job.Tasks,
			inTime: inTime,
		})
	}
	return sharesInTime(counted), len(counted)
}

// firstStarts is when the first task of each job started, in seconds of the emulated services.
func (e *evaluation) firstStarts() map[string]float64 {
	first := map[string]float64{}
	for i := range e.events {
		event := &e.events[i]
		if event.Kind != invariants.TaskStarted {
			continue
		}
		if _, known := first[event.Job]; !known {
			first[event.Job] = inSeconds(event.At)
		}
	}
	return first
}

// sharesInTime computes the shares by class, by team, and of the largest jobs of each class.
func sharesInTime(jobs []startedJob) StartedInTime {
	shares := StartedInTime{Class: map[string]float64{}, Team: map[string]float64{}, Largest: map[string]float64{}}
	byClass := map[string][]startedJob{}
	byTeam := map[string][]startedJob{}
	for _, j := range jobs {
		byClass[j.class] = append(byClass[j.class], j)
		byTeam[j.team] = append(byTeam[j.team], j)
	}
	for name, of := range byClass {
		slices.SortFunc(of, func(a, b startedJob) int {
			return cmp.Or(cmp.Compare(b.tasks, a.tasks), cmp.Compare(a.id, b.id))
		})
		largest := max(1, int(float64(len(of))*largestPart))
		shares.Class[name] = shareInTime(of)
		shares.Largest[name] = shareInTime(of[:largest])
	}
	for name, of := range byTeam {
		shares.Team[name] = shareInTime(of)
	}
	return shares
}

// shareInTime is the share of jobs that started in time; there must be one at least.
func shareInTime(jobs []startedJob) float64 {
	inTime := 0
	for _, j := range jobs {
		if j.inTime {
			inTime++
		}
	}
	return float64(inTime) / float64(len(jobs))
}
