package leader

import (
	"net/http"

	"coralhub/internal/core/accounts"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/standing"
)

// mostBefore is how many of those that go before a job are named.
const mostBefore = 20

// Waits tells an operator why a job waits, and what goes before it.
type Waits struct {
	Job      JobState `json:"job"`
	Why      string   `json:"why"`
	Priority string   `json:"priority,omitempty"`
	Within   bool     `json:"within_guarantee"`
	Late     bool     `json:"late"`           // it can't begin in time any more
	Short    bool     `json:"class_is_short"` // of places: see "When there is too little"
	Rank     int      `json:"rank,omitempty"` // 1: the first; 0: it is not in the queue
	Of       int      `json:"queue"`          // jobs in the queue
	Before   []string `json:"before"`         // the next ones that go before it, the nearest first
	Kept     []string `json:"machines_kept"`  // for it, while others leave them
	Yield    []string `json:"yield"`          // jobs that were stopped for it, by decisions in force
}

// why tells in a few words why a job has not all its places.
func (l *Leader) why(j *Job) string {
	spec := j.Rec.Spec
	now := l.box.Now()
	switch {
	case j.Over() || j.Rec.Final():
		return "it is over"
	case j.Rec.Cancel:
		return "it is being cancelled"
	case j.Held():
		return "jobs that it needs are not done"
	case j.Done+j.Open >= spec.Tasks:
		return "it has all its places"
	case j.txn != nil || len(j.plan) > 0 || len(j.closes) > 0:
		return "a change of it is being committed"
	case now < max(j.holdUntil, j.retryAt):
		return "it is held back after failures"
	case now < j.preempted:
		return "others are leaving machines for it"
	}
	if team := l.teams[spec.Team]; team != nil && !queue.UnderLimit(team, l.survey.used[spec.Team].Plus(beginAmount(spec), 1)) {
		return "its team's limit"
	}
	return "no machine has room, or others go before it"
}

// waits answers why a job waits.
func (l *Leader) waits(j *Job) Waits {
	out := Waits{Job: l.stateOfJob(j), Why: l.why(j), Before: []string{}, Kept: []string{}, Yield: []string{}}
	if j.Rec.Spec == nil {
		return out
	}
	out.Priority, out.Within, out.Short = j.Priority(), l.within(j), l.shortOf(j) != nil
	out.Late = !j.begun() && l.box.Now()-j.arrived >= l.lateAfter()
	entries := l.pending(&scan{})
	queue.Rank(entries)
	out.Of = len(entries)
	for i := range entries {
		if entries[i].ID != j.ID {
			continue
		}
		out.Rank = i + 1
		for k := i - 1; k >= 0 && len(out.Before) < mostBefore; k-- {
			out.Before = append(out.Before, entries[k].ID)
		}
	}
	for _, d := range l.deciding.book.InForce(l.wall()) {
		if d.Winner != j.ID {
			continue
		}
		out.Kept = append(out.Kept, d.Keep...)
		for _, v := range d.Victims {
			out.Yield = append(out.Yield, v.Job)
		}
	}
	return out
}

// AccountRow is an account as an operator reads it, in seconds.
type AccountRow struct {
	Team    string  `json:"team"`
	Class   string  `json:"class"`
	Kind    string  `json:"kind"` // batch or service
	GPUS    float64 `json:"gpu_s"`
	CPUS    float64 `json:"cpu_s"`
	MemoryS float64 `json:"gb_s"`
	TaskS   float64 `json:"task_s"`
	CheapS  float64 `json:"cheap_task_s"`
	AgainS  float64 `json:"repeated_task_s"`
}

// listAccounts lists what was used; any node can tell.
func (l *Leader) listAccounts(most int) []AccountRow {
	out := []AccountRow{}
	l.accounts.Each(func(k accounts.Key, u job.Use) {
		if len(out) == most {
			return
		}
		kind := "batch"
		if k.Service {
			kind = "service"
		}
		s := func(micros int64) float64 { return round(float64(micros) / 1e6) }
		out = append(out, AccountRow{k.Team, k.Class, kind, s(u.GPU), s(u.CPU), s(u.Memory), s(u.Time), s(u.Cheap), s(u.Lost)})
	})
	return out
}

// Standing is who yields to whom.
type Standing struct {
	Decisions []DecisionRow `json:"decisions"` // in force
	Yielded   []YieldRow    `json:"yielded"`   // tasks, since the cluster began
}

// DecisionRow is a decision in force.
type DecisionRow struct {
	Winner   string   `json:"winner"`
	By       string   `json:"by"`
	ForS     float64  `json:"for_s"`
	Machines []string `json:"machines"`
	Yield    []string `json:"yield"`
}

// YieldRow counts whose work yielded to whose.
type YieldRow struct {
	From  string `json:"class"`
	To    string `json:"to_class"`
	By    string `json:"by"`
	Tasks uint64 `json:"tasks"`
}

func (l *Leader) standing(most int) Standing {
	out := Standing{Decisions: []DecisionRow{}, Yielded: []YieldRow{}}
	wall := l.wall()
	for _, d := range l.deciding.book.InForce(wall) {
		if len(out.Decisions) == most {
			break
		}
		row := DecisionRow{Winner: d.Winner, By: d.Why.String(), ForS: round(float64(d.Until-wall) / 1e6), Machines: d.Keep, Yield: []string{}}
		for _, v := range d.Victims {
			row.Yield = append(row.Yield, v.Job)
		}
		out.Decisions = append(out.Decisions, row)
	}
	l.deciding.tally.Each(func(y standing.Yield, n uint64) {
		if len(out.Yielded) < most {
			out.Yielded = append(out.Yielded, YieldRow{y.From, y.To, y.Why.String(), n})
		}
	})
	return out
}

// adminOfAll answers the questions that need no run times; false: it isn't one.
func (l *Leader) adminOfAll(x msg.AdminIn, most int) bool {
	switch x.What {
	case msg.AskStanding:
		l.box.Answer(x.Req, http.StatusOK, l.standing(most))
	case msg.AskWaits:
		j := l.jobs[x.ID]
		if j == nil || j.Version == 0 {
			l.box.Answer(x.Req, http.StatusNotFound, AdminError{Error: "no such job"})
			return true
		}
		l.box.Answer(x.Req, http.StatusOK, l.waits(j))
	default:
		return false
	}
	return true
}
