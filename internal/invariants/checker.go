// Package invariants holds a history of what users, workers and the cloud saw against the
// rules of the protocol. It knows nothing of how the service works: whatever it says
// follows from the history alone.
package invariants

import (
	"cmp"
	"fmt"
	"slices"
)

// Micros is a time or a duration in whole microseconds.
type Micros = int64

// Kind says what an event is.
type Kind string

// The kinds of events. A task is on its machine from when it has its image until it
// exits, is killed, or the machine is gone.
const (
	JobSubmitted    Kind = "submitted" // a user sends a job for the first time
	CancelRequested Kind = "asked"     // a user asks to cancel a job
	Answered        Kind = "told"      // a user is answered
	MachineAdded    Kind = "machine"   // a machine is rented
	MachineGone     Kind = "gone"      // a machine and all on it are gone
	TaskStarted     Kind = "on"        // a task starts on a machine
	TaskStopped     Kind = "off"       // it is not there any more
	TaskDone        Kind = "done"      // a task has completed
)

// Event is one thing that somebody saw.
type Event struct {
	At      Micros `json:"at"`
	Kind    Kind   `json:"kind"`
	Job     string `json:"job,omitempty"`
	Task    int    `json:"task,omitempty"`
	Attempt uint64 `json:"attempt,omitempty"`
	Machine string `json:"machine,omitempty"`
	Spec    *Spec  `json:"spec,omitempty"`   // of Submitted
	Host    *Host  `json:"host,omitempty"`   // of Machine
	Via     string `json:"via,omitempty"`    // of Told: submit, poll or cancel
	Status  int    `json:"status,omitempty"` // of Told: of HTTP; 0: no answer
	Said    string `json:"said,omitempty"`   // of Told: queued, running, done or cancelled
}

// Spec is of a job what the rules go by.
type Spec struct {
	Team    string   `json:"team"`
	Tasks   int      `json:"tasks"`
	CPUs    float64  `json:"cpus"`
	GPUs    float64  `json:"gpus"`
	Types   []string `json:"types,omitempty"` // any if empty
	Zone    string   `json:"zone,omitempty"`  // any if empty
	OneZone bool     `json:"one_zone,omitempty"`
	Spread  bool     `json:"spread,omitempty"`
	Spot    bool     `json:"spot,omitempty"`
	Needs   []string `json:"needs,omitempty"`
}

// Host is of a machine what the rules go by.
type Host struct {
	Type string `json:"type"`
	Zone string `json:"zone"`
	Spot bool   `json:"spot"`
}

// Limit is the most that a team may use at a time; 0: any amount.
type Limit struct{ CPUs, GPUs float64 }

// Rules are what the rules say beside the history.
type Rules struct {
	CancelIn Micros // how long tasks may stay after a user was told that they are cancelled
	Silence  Micros // how long every poll for a job may fail while others are answered
	// Settled is when the last trouble ended, and Unanswered how long every poll for a job may
	// fail from then on, however others fare; 0: for any time.
	Settled, Unanswered Micros
	Teams               map[string]Limit
}

// Violation is a rule that was broken.
type Violation struct {
	Rule   string `json:"rule"`
	At     Micros `json:"at"`
	Detail string `json:"what"`
}

func (b Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", b.Rule, float64(b.At)/1e6, b.Detail)
}

// Ways of asking, in Told.
const (
	BySubmit = "submit"
	ByPoll   = "poll"
	ByCancel = "cancel"
)

const (
	saidQueued    = "queued"
	saidRunning   = "running"
	saidDone      = "done"
	saidCancelled = "cancelled"
)

// place is a task's stay on a machine.
type place struct {
	task    int
	attempt uint64
	machine string
}

type job struct {
	spec      *Spec
	asked     bool
	accepted  bool
	final     string
	cancelled Micros // when its user was told; 0: not
	done      map[int]bool
	on        []place
	failing   Micros // since when every poll fails; 0: the last one was answered
	orphan    bool
}

type checker struct {
	terms    Rules
	jobs     map[string]*job
	machines map[string]*Host
	used     map[string]Limit
	started  bool
	lastPoll Micros                      // the last poll that was answered
	staying  map[string]map[place]string // by machine: the tasks there, and their jobs
	leaving  map[string]*job             // cancelled jobs with tasks somewhere
	out      []Violation
}

// Check returns which rules a history breaks, in the order of time. The end of the
// history counts as a moment of its own.
func Check(t Rules, events []Event) []Violation {
	j := &checker{terms: t, jobs: map[string]*job{}, machines: map[string]*Host{}, used: map[string]Limit{},
		staying: map[string]map[place]string{}, leaving: map[string]*job{}}
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	for i := range sorted {
		j.checkDeadlines(sorted[i].At)
		j.apply(&sorted[i])
	}
	if !j.started && len(sorted) > 0 {
		j.report("nothing_ran", sorted[len(sorted)-1].At, "no task was started")
	}
	slices.SortStableFunc(j.out, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Detail, b.Detail))
	})
	return j.out
}

func (j *checker) report(rule string, at Micros, format string, args ...any) {
	j.out = append(j.out, Violation{rule, at, fmt.Sprintf(format, args...)})
}

func (j *checker) job(id string) *job {
	x := j.jobs[id]
	if x == nil {
		x = &job{done: map[int]bool{}}
		j.jobs[id] = x
	}
	return x
}

func (j *checker) apply(e *Event) {
	switch e.Kind {
	case JobSubmitted:
		if x := j.job(e.Job); x.spec == nil {
			x.spec = e.Spec
		}
	case CancelRequested:
		j.job(e.Job).asked = true
	case MachineAdded:
		j.machines[e.Machine] = e.Host
	case Answered:
		j.checkAnswer(e)
	case TaskStarted:
		j.taskStarted(e)
	case TaskStopped:
		j.taskStopped(e.Job, place{e.Task, e.Attempt, e.Machine})
	case TaskDone:
		j.job(e.Job).done[e.Task] = true
	case MachineGone:
		for p, id := range j.staying[e.Machine] {
			j.taskStopped(id, p)
		}
		delete(j.machines, e.Machine)
	}
}

// checkAnswer holds an answer against what was said before and what is true.
func (j *checker) checkAnswer(e *Event) {
	x := j.jobs[e.Job]
	if x == nil || x.spec == nil {
		if e.Status == 200 && e.Via != BySubmit {
			j.report("invented", e.At, "%s is called %s and was never submitted", e.Job, e.Said)
		}
		return
	}
	ok := e.Status == 200 || e.Status == 201
	if e.Via == ByPoll {
		j.checkPoll(e, x, ok)
	}
	switch {
	case x.accepted && e.Status == 404 && e.Via != BySubmit:
		j.report("forgotten", e.At, "%s was accepted and gets 404", e.Job)
	case x.accepted && e.Via == BySubmit && (e.Status == 400 || e.Status == 422):
		j.report("forgotten", e.At, "%s was accepted and its repetition gets %d", e.Job, e.Status)
	}
	if !ok {
		return
	}
	x.accepted = true
	if x.final != "" && e.Said != x.final {
		j.report("went_back", e.At, "%s was called %s and is now %s", e.Job, x.final, e.Said)
	}
	switch e.Said {
	case saidDone:
		if len(x.done) < x.spec.Tasks {
			j.report("not_done", e.At, "%s is called done with %d of %d tasks", e.Job, len(x.done), x.spec.Tasks)
		}
		x.final = saidDone
	case saidCancelled:
		if !j.mayBeCancelled(e.Job, map[string]bool{}) {
			j.report("went_back", e.At, "%s is called cancelled and nobody has asked for it", e.Job)
		}
		if x.final = saidCancelled; x.cancelled == 0 {
			x.cancelled = e.At
			if len(x.on) > 0 {
				j.leaving[e.Job] = x
			}
		}
	case saidQueued, saidRunning:
		if at := j.cancelledBefore(e.Job, map[string]bool{}); at != 0 && e.At-at > j.terms.CancelIn && !x.orphan {
			x.orphan = true
			j.report("orphaned", e.At, "%s is called %s, and a job before it was cancelled at %.3f s", e.Job, e.Said, float64(at)/1e6)
		}
	}
}

// checkPoll watches for jobs of which nobody can learn anything while others are told of.
func (j *checker) checkPoll(e *Event, x *job, ok bool) {
	if ok || e.Status == 404 {
		x.failing = 0
		j.lastPoll = e.At
		return
	}
	if x.failing == 0 {
		x.failing = e.At
	}
	if since := max(x.failing, j.terms.Settled); x.accepted && j.terms.Unanswered != 0 && e.At-since >= j.terms.Unanswered {
		j.report("forgotten", e.At, "no question about %s has been answered since %.3f s, with all troubles over", e.Job, float64(since)/1e6)
		x.failing = e.At
		return
	}
	if !x.accepted || j.terms.Silence == 0 || e.At-x.failing < j.terms.Silence || j.lastPoll < x.failing {
		return
	}
	j.report("forgotten", e.At, "every poll for %s has failed since %.3f s while others were answered", e.Job, float64(x.failing)/1e6)
	x.failing = e.At
}

func (j *checker) mayBeCancelled(id string, seen map[string]bool) bool {
	x := j.jobs[id]
	if x == nil || seen[id] {
		return false
	}
	seen[id] = true
	if x.asked {
		return true
	}
	return x.spec != nil && slices.ContainsFunc(x.spec.Needs, func(n string) bool { return j.mayBeCancelled(n, seen) })
}

// cancelledBefore is when a user was first told that a job before this one is
// cancelled; 0: nobody was.
func (j *checker) cancelledBefore(id string, seen map[string]bool) Micros {
	x := j.jobs[id]
	if x == nil || x.spec == nil || seen[id] {
		return 0
	}
	seen[id] = true
	first := Micros(0)
	for _, n := range x.spec.Needs {
		for _, at := range []Micros{j.cancelledBefore(n, seen), j.job(n).cancelled} {
			if at != 0 && (first == 0 || at < first) {
				first = at
			}
		}
	}
	return first
}

func (j *checker) taskStarted(e *Event) {
	j.started = true
	x := j.job(e.Job)
	if x.spec == nil {
		j.report("invented", e.At, "task %s/%d of a job that was never submitted is on %s", e.Job, e.Task, e.Machine)
		return
	}
	for _, p := range x.on {
		if p.task == e.Task && p.machine != e.Machine {
			j.report("ran_twice", e.At, "%s/%d starts on %s and is on %s", e.Job, e.Task, e.Machine, p.machine)
		}
	}
	if x.cancelled != 0 && e.At-x.cancelled > j.terms.CancelIn {
		j.report("ran_cancelled", e.At, "%s/%d starts on %s, %.3f s after its user was told that it is cancelled", e.Job, e.Task, e.Machine,
			float64(e.At-x.cancelled)/1e6)
	}
	for _, n := range x.spec.Needs {
		if before := j.job(n); before.spec == nil || len(before.done) < before.spec.Tasks {
			j.report("too_early", e.At, "%s/%d starts and %s is not done", e.Job, e.Task, n)
		}
	}
	j.checkPlacement(e, x)
	p := place{e.Task, e.Attempt, e.Machine}
	if !slices.Contains(x.on, p) {
		x.on = append(x.on, p)
		if j.staying[e.Machine] == nil {
			j.staying[e.Machine] = map[place]string{}
		}
		j.staying[e.Machine][p] = e.Job
		u := j.used[x.spec.Team]
		u.CPUs, u.GPUs = u.CPUs+x.spec.CPUs, u.GPUs+x.spec.GPUs
		j.used[x.spec.Team] = u
		const slack = 1e-6
		if l := j.terms.Teams[x.spec.Team]; l.CPUs > 0 && u.CPUs > l.CPUs+slack || l.GPUs > 0 && u.GPUs > l.GPUs+slack {
			j.report("quota", e.At, "team %s uses %v CPUs and %v GPUs of %v and %v", x.spec.Team, u.CPUs, u.GPUs, l.CPUs, l.GPUs)
		}
	}
}

// checkPlacement holds a start against where the job may be, given its other tasks.
func (j *checker) checkPlacement(e *Event, x *job) {
	m := j.machines[e.Machine]
	if m == nil {
		j.report("wrong_place", e.At, "%s/%d starts on %s, which is not rented", e.Job, e.Task, e.Machine)
		return
	}
	here, elsewhere := 1, 0
	for _, p := range x.on {
		switch o := j.machines[p.machine]; {
		case o == nil || p.task == e.Task:
		case o.Zone == m.Zone:
			here++
		default:
			elsewhere++
		}
	}
	why := ""
	switch s := x.spec; {
	case len(s.Types) > 0 && !slices.Contains(s.Types, m.Type):
		why = "its type is " + m.Type
	case s.Zone != "" && s.Zone != m.Zone:
		why = "its zone is " + m.Zone
	case m.Spot && !s.Spot:
		why = "it is a spot machine"
	case s.OneZone && elsewhere > 0:
		why = "other tasks are in another zone"
	case s.Spread && here > (s.Tasks+1)/2:
		why = "too many tasks are in its zone"
	}
	if why != "" {
		j.report("wrong_place", e.At, "%s/%d starts on %s: %s", e.Job, e.Task, e.Machine, why)
	}
}

func (j *checker) taskStopped(id string, p place) {
	x := j.job(id)
	i := slices.Index(x.on, p)
	if i < 0 {
		return
	}
	x.on = slices.Delete(x.on, i, i+1)
	delete(j.staying[p.machine], p)
	if len(x.on) == 0 {
		delete(j.leaving, id)
	}
	u := j.used[x.spec.Team]
	u.CPUs, u.GPUs = u.CPUs-x.spec.CPUs, u.GPUs-x.spec.GPUs
	j.used[x.spec.Team] = u
}

// checkDeadlines finds tasks that stay after their job was called cancelled.
func (j *checker) checkDeadlines(now Micros) {
	for id, x := range j.leaving {
		if now-x.cancelled > j.terms.CancelIn {
			delete(j.leaving, id)
			j.report("ran_cancelled", now, "%s/%d is on %s, %.3f s after its user was told that it is cancelled", id, x.on[0].task, x.on[0].machine,
				float64(now-x.cancelled)/1e6)
		}
	}
}
