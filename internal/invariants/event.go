package invariants

import "fmt"

// Micros is a time or a duration in whole microseconds.
type Micros = int64

// seconds converts microseconds to seconds.
func seconds(t Micros) float64 { return float64(t) / 1e6 }

// Kind is the kind of an event.
type Kind string

// The kinds of events. A task is on a machine from the time when its image is there until it exits, is
// killed, or the machine is removed.
const (
	JobSubmitted    Kind = "submitted" // a user submits a job for the first time
	CancelRequested Kind = "asked"     // a user requests the cancellation of a job
	Answered        Kind = "told"      // a user receives an answer, or a request fails without one
	MachineAdded    Kind = "machine"   // a machine is rented
	MachineRemoved  Kind = "gone"      // a machine is removed with all tasks on it
	TaskStarted     Kind = "on"        // a task starts on a machine
	TaskStopped     Kind = "off"       // a task is no longer on its machine
	TaskDone        Kind = "done"      // a task has completed
)

// The kinds of requests of users: values of Event.Via.
const (
	BySubmit = "submit"
	ByPoll   = "poll"
	ByCancel = "cancel"
)

// The states of a job in answers to users: values of Event.JobStatus.
const (
	statusQueued    = "queued"
	statusRunning   = "running"
	statusDone      = "done"
	statusCancelled = "cancelled"
)

// The names of the rules: values of Violation.Rule.
const (
	ruleJobLost           = "forgotten"     // an accepted job is unknown, refused again, or polls for it fail
	ruleNeverSubmitted    = "invented"      // a job is reported, or a task starts, that was never submitted
	ruleNotDone           = "not_done"      // a job is reported as done before all its tasks have completed
	ruleNoTaskStarted     = "nothing_ran"   // no task started in the whole history
	ruleOrphaned          = "orphaned"      // a job is queued or running although a dependency is cancelled
	ruleQuota             = "quota"         // a team exceeds its quota
	ruleRanCancelled      = "ran_cancelled" // a task is on a machine too long after its cancellation
	ruleRanTwice          = "ran_twice"     // a task is on two machines at once
	ruleDependencyNotDone = "too_early"     // a task starts before the dependencies of its job are done
	ruleInvalidFinalState = "went_back"     // a final state changes, or a job is cancelled without request
	ruleExcludedMachine   = "wrong_place"   // a task starts on an excluded or unrented machine
)

// Event is an observation of a user, a worker or the cloud.
type Event struct {
	At        Micros `json:"at"`
	Kind      Kind   `json:"kind"`
	Job       string `json:"job,omitempty"`
	Task      int    `json:"task,omitempty"`
	Attempt   uint64 `json:"attempt,omitempty"`
	Machine   string `json:"machine,omitempty"`
	Spec      *Spec  `json:"spec,omitempty"`   // of JobSubmitted
	Host      *Host  `json:"host,omitempty"`   // of MachineAdded
	Via       string `json:"via,omitempty"`    // of Answered: BySubmit, ByPoll or ByCancel
	Status    int    `json:"status,omitempty"` // of Answered: the HTTP status; 0 if there was no answer
	JobStatus string `json:"said,omitempty"`   // of Answered: the state of the job: queued, running, done or cancelled
}

// Spec holds the properties of a job that the rules depend on.
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

// Host holds the properties of a machine that the rules depend on.
type Host struct {
	Type string `json:"type"`
	Zone string `json:"zone"`
	Spot bool   `json:"spot"`
}

// Limit is the quota of a team. 0 means unlimited.
type Limit struct{ CPUs, GPUs float64 }

// Rules are the parameters of the rules.
type Rules struct {
	// CancelTimeout is how long tasks may remain on machines after a user was answered that their job is cancelled.
	CancelTimeout Micros
	// MaxPollFailure is how long all polls for a job may fail while others are answered; unlimited if 0.
	MaxPollFailure Micros
	// FaultsEndedAt is when the last fault ended. MaxPollFailureAfterFaults is how long all polls for a job may
	// fail from then on, whether or not polls for others are answered; unlimited if 0.
	FaultsEndedAt, MaxPollFailureAfterFaults Micros
	Teams                                    map[string]Limit // quotas by team; teams that are not listed are unlimited
}

// Violation is a violation of a rule, found in a history.
type Violation struct {
	Rule   string `json:"rule"`
	At     Micros `json:"at"`
	Detail string `json:"what"`
}

// String returns the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", v.Rule, seconds(v.At), v.Detail)
}
