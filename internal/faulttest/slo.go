package faulttest

import (
	"cmp"
	"slices"

	"coralhub/internal/invariants"
)

// defaultStartWithinS is the time in which a job must start if an expectation doesn't set one, in seconds.
const defaultStartWithinS = 240

// largestShare is the share of the jobs of a class that count as its largest jobs.
const largestShare = 0.1

// StartedInTime is the SLO attainment of a run: the shares of jobs that started in time, by class, by team,
// and of the tenth of each class with the most tasks. It is derived from the observations of users and
// machines. A job that was refused counts as not started in time. A job that didn't start in time isn't
// counted if its user cancelled it or if its time limit had not passed when the run ended.
type StartedInTime struct {
	Class   map[string]float64 `json:"class"`
	Team    map[string]float64 `json:"team"`
	Largest map[string]float64 `json:"largest"`
}

// minShare returns the smallest of all shares, or of the shares under the given name if it isn't empty. It
// returns 1 if there are none.
func (s *StartedInTime) minShare(name string) float64 {
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

// countedJob is a job that is counted in StartedInTime.
type countedJob struct {
	id     string
	class  string
	team   string
	tasks  int
	inTime bool
}

// startedInTime determines which jobs started within the given number of seconds after their acceptance, or
// after their first submission if they weren't accepted. It returns the shares and the number of jobs
// counted.
func (e *evaluation) startedInTime(within float64) (shares StartedInTime, jobs int) {
	firstStart := e.firstStarts()
	var counted []countedJob
	for id, o := range e.outcomes {
		since := o.accepted
		if since < 0 {
			since = o.submitted
		}
		started, hasStarted := firstStart[id]
		inTime := hasStarted && started-inSeconds(e.runStart)-since <= within
		undecided := o.cancelled || e.endS-since < within
		if o.submitted < 0 || !inTime && undecided {
			continue
		}
		counted = append(counted, countedJob{
			id:     id,
			class:  o.planned.class.Name,
			team:   o.planned.class.Team,
			tasks:  o.planned.job.Tasks,
			inTime: inTime,
		})
	}
	return sharesInTime(counted), len(counted)
}

// firstStarts returns the start time of the first started task of each job, in seconds of the clock of the
// emulated services.
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
func sharesInTime(jobs []countedJob) StartedInTime {
	shares := StartedInTime{Class: map[string]float64{}, Team: map[string]float64{}, Largest: map[string]float64{}}
	byClass := map[string][]countedJob{}
	byTeam := map[string][]countedJob{}
	for _, j := range jobs {
		byClass[j.class] = append(byClass[j.class], j)
		byTeam[j.team] = append(byTeam[j.team], j)
	}
	for name, of := range byClass {
		slices.SortFunc(of, func(a, b countedJob) int {
			return cmp.Or(cmp.Compare(b.tasks, a.tasks), cmp.Compare(a.id, b.id))
		})
		largest := max(1, int(float64(len(of))*largestShare))
		shares.Class[name] = shareInTime(of)
		shares.Largest[name] = shareInTime(of[:largest])
	}
	for name, of := range byTeam {
		shares.Team[name] = shareInTime(of)
	}
	return shares
}

// shareInTime returns the share of jobs that started in time. jobs must not be empty.
func shareInTime(jobs []countedJob) float64 {
	inTime := 0
	for _, j := range jobs {
		if j.inTime {
			inTime++
		}
	}
	return float64(inTime) / float64(len(jobs))
}
