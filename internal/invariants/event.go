package invariants

import "fmt"

// Micros is a time or a duration in whole microseconds.
type Micros = int64

// seconds converts microseconds.
func seconds(t Micros) float64 { return float64(t) / 1e6 }

// Kind is the kind of an event.
type Kind string

// The kinds of events. A task is on its machine from when it has its image until it exits, is
// killed, or the machine is gone.
const (
	JobSubmitted    Kind = "submitted" // a user submits a job for the first time
	CancelRequested Kind = "asked"     // a user requests the cancellation of a job
	Answered        Kind = "told"      // a user is answered
	MachineAdded    Kind = "machine"   // a machine is rented
	MachineGone     Kind = "gone"      // a machine and all tasks on it are gone
	TaskStarted     Kind = "on"        // a task starts on a machine
	TaskStopped     Kind = "off"       // a task is not on its machine any more
	TaskDone        Kind = "done"      // a task has completed
)

// The kinds of requests that a user is answered, in Event.Via.
const (
	BySubmit = "submit"
	ByPoll   = "poll"
	ByCancel = "cancel"
)

// The states of a job that a user is answered, in Event.Said.
const (
	saidQueued    = "queued"
	saidRunning   = "running"
	saidDone      = "done"
	saidCancelled = "cancelled"
)

// The names of the rules, in Violation.Rule.
const (
	ruleForgotten    = "forgotten"     // an accepted job is unknown, or no poll for it is answered
	ruleInvented     = "invented"      // there is a job or a task that nobody has submitted
	ruleNotDone      = "not_done"      // a job is called done and tasks have not completed
	ruleNothingRan   = "nothing_ran"   // no task was started at all
	ruleOrphaned     = "orphaned"      // a job goes on though one that it depends on is cancelled
	ruleQuota        = "quota"         // a team uses more than its quota
	ruleRanCancelled = "ran_cancelled" // a task is on a machine too long after its job was cancelled
	ruleRanTwice     = "ran_twice"     // a task is on two machines
	ruleTooEarly     = "too_early"     // a task starts before the jobs that its job depends on are done
	ruleWentBack     = "went_back"     // a final state changes, or a job is cancelled without request
	ruleWrongPlace   = "wrong_place"   // a task starts on a machine that its job excludes
)

// Event is something that a user, a worker or the cloud saw.
type Event struct {
	At      Micros `json:"at"`
	Kind    Kind   `json:"kind"`
	Job     string `json:"job,omitempty"`
	Task    int    `json:"task,omitempty"`
	Attempt uint64 `json:"attempt,omitempty"`
	Machine string `json:"machine,omitempty"`
	Spec    *Spec  `json:"spec,omitempty"`   // of JobSubmitted
	Host    *Host  `json:"host,omitempty"`   // of MachineAdded
	Via     string `json:"via,omitempty"`    // of Answered: BySubmit, ByPoll or ByCancel
	Status  int    `json:"status,omitempty"` // of Answered: the HTTP status; 0: no answer
	Said    string `json:"said,omitempty"`   // of Answered: queued, running, done or cancelled
}

// Spec is what the rules need to know of a job.
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

// Host is what the rules need to know of a machine.
type Host struct {
	Type string `json:"type"`
	Zone string `json:"zone"`
	Spot bool   `json:"spot"`
}

// Limit is the quota of a team; 0: unlimited.
type Limit struct{ CPUs, GPUs float64 }

// Rules are the parameters of the rules.
type Rules struct {
	CancelIn Micros // how long tasks may remain on machines after a user was answered that their job is cancelled
	Silence  Micros // how long every poll for a job may fail while others are answered; 0: for any time
	// Settled is when the last fault ended, and Unanswered how long every poll for a job may fail
	// from then on, whether others are answered or not; 0: for any time.
	Settled, Unanswered Micros
	Teams               map[string]Limit // by name
}

// Violation is a rule that a history violates.
type Violation struct {
	Rule   string `json:"rule"`
	At     Micros `json:"at"`
	Detail string `json:"what"`
}

// String is the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", v.Rule, seconds(v.At), v.Detail)
}
