// Package zone knows the workers of the zones: what they last said, which of
// the commands sent to them may still take effect, and how much room they
// have. It plans placements and bids for jobs.
package zone

import (
	"cmp"
	"container/list"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/wire"
)

// Micros is a time or a duration in whole microseconds.
type Micros = config.Micros

// Task is a task as its worker last reported it.
type Task struct {
	State string
	Cause string
	Saved bool
	Since Micros // when this state was first seen
}

// Machine is a worker.
type Machine struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	RentedAt               Micros // when this node first knew of it

	// From the newest message, by (session, sequence).
	Incarnation, Sequence, FencingToken uint64
	Tasks                               map[job.AttemptKey]Task
	LastMessageAt                       Micros     // when the newest message came
	LastContactAt                       Micros     // when the worker was last in touch with us itself, see Roster.Touch
	Relayed                             bool       // the newest message came by way of the state service
	WantsFullHeartbeat                  bool       // the next report is to come to the leader itself
	ReclaimedAt                         Micros     // when the cloud takes it; 0: no notice
	Images                              ImageCache // images that it is believed to have

	// What may still be on its way. A start that was sent by a direct call
	// without an answer may be executed as long as the worker has seen no
	// token above Ambiguous; one in the answer to a report is executed before
	// the worker's next report, or never.
	CallInFlight   bool // a direct call is out
	StartInFlight  bool // and it carries a start
	AmbiguousToken uint64
	ReplySequence  uint64            // last report whose answer carried a start
	replyAt        Micros            // when that came, until a report follows it; 0: none is awaited
	StartsInReply  map[string]uint64 // the starts that it carried: attempts, by task
	callToken      uint64
	callID         uint64
	settled        bool

	Allocated Resources // what is placed here, or about to be
	Stale     bool      // to be looked at again before the next pass
	Offer     *Offer    // what it offers; nil: nothing

	Urgent            bool // has commands that should not wait for the next report
	NextCallAt        Micros
	Releasing         bool
	DeletionUncertain bool // a deletion without an answer may still be executed
	ReleaseSentAt     Micros
	Failed            bool   // the cloud says that it has stopped by itself
	UnlistedSince     Micros // since when the cloud's lists lack it; 0: they don't
	IdleSince         Micros
	FullUntil         Micros
	FailedJobs        map[string]Micros // jobs that failed here since the last success
	OnProbation       bool              // it is given work though it seems faulty, to see whether it still is
	Reachability      Reachability
	IncarnationReset  bool // its worker has forgotten sessions: it can't be told what is over there
	// Mute is since when its worker is known to reach nobody; 0: it does. Calls reach it and are answered,
	// but its lease has ended and no report of the session after that has come by any way: what runs there
	// ends with each lease, whatever is called.
	SilentSince Micros

	registered     bool          // in a roster
	silenceElement *list.Element // in its order of silence; nil: none
}

// New returns a machine that has said nothing yet.
func New(name, addr, typ, zone string, spot bool, rented Micros) *Machine {
	return &Machine{Name: name, Addr: addr, Type: typ, Zone: zone, Spot: spot, RentedAt: rented,
		Tasks: map[job.AttemptKey]Task{}, FailedJobs: map[string]Micros{}}
}

// Describe takes what others than its worker say of a machine, until the worker
// itself has said it; an empty address says nothing. It returns false after that.
func (m *Machine) Describe(addr, typ, zone string, spot bool) bool {
	if m.Incarnation != 0 {
		return false
	}
	m.Type, m.Zone, m.Spot = typ, zone, spot
	if addr != "" {
		m.Addr = addr
	}
	return true
}

// ApplyHeartbeat takes a worker's message. It returns false if an equally new or newer
// one has been taken already: that changes nothing. isReport tells reports
// from the answers to direct calls.
func (m *Machine) ApplyHeartbeat(now Micros, r *wire.Heartbeat, isReport bool) bool {
	if r.Incarnation < m.Incarnation || r.Incarnation == m.Incarnation && r.Sequence <= m.Sequence {
		return false
	}
	switch {
	case isReport:
		m.SilentSince = 0
	case m.Incarnation != 0 && r.Incarnation > m.Incarnation && m.SilentSince == 0:
		m.SilentSince = now
	}
	if r.Incarnation > m.Incarnation {
		m.ReplySequence, m.replyAt = 0, 0
	}
	if isReport { // there is one at a time: the answer to the one before it has been taken, or never will be
		m.replyAt = 0
	}
	m.Incarnation, m.Sequence, m.LastMessageAt = r.Incarnation, r.Sequence, now
	m.WantsFullHeartbeat = m.WantsFullHeartbeat && !isReport
	m.FencingToken = max(m.FencingToken, r.FencingToken)
	m.Addr, m.Type, m.Zone, m.Spot = r.Addr, r.Type, r.Zone, r.Spot
	m.ReclaimedAt = 0
	if r.NoticeS != nil {
		m.ReclaimedAt = now + config.FromSeconds(*r.NoticeS)
	}
	tasks := make(map[job.AttemptKey]Task, len(r.Tasks))
	for _, t := range r.Tasks {
		id, n, ok := wire.ParseTaskName(t.Task)
		if !ok {
			continue
		}
		key := job.AttemptKey{Job: id, Task: n, Attempt: t.Attempt}
		since := now
		if old, had := m.Tasks[key]; had && old.State == t.State {
			since = old.Since
		}
		tasks[key] = Task{t.State, t.Cause, t.Saved, since}
	}
	m.Tasks = tasks
	m.settled = isReport && !m.StartInFlight && m.FencingToken > m.AmbiguousToken && r.Sequence > m.ReplySequence
	return true
}

// ApplyAck notes that the worker's home has answered a report that says no more than
// the newest message. It returns false if that is no news.
func (m *Machine) ApplyAck(now Micros, session, seq uint64) bool {
	if session != m.Incarnation || seq <= m.Sequence {
		return false
	}
	m.Sequence, m.LastMessageAt, m.Relayed, m.SilentSince = seq, now, false, 0
	return true
}

// ClearedBySuccess tells whether the success of a task that began to run at that time says
// that the machine is sound: one that ran before others failed says nothing.
func (m *Machine) ClearedBySuccess(began Micros) bool {
	for _, failed := range m.FailedJobs {
		if began <= failed {
			return false
		}
	}
	return true
}

// Settled tells whether no start that was sent to the worker can still take
// effect without the newest message showing its attempt.
func (m *Machine) Settled() bool { return m.settled && !m.StartInFlight }

// NoteReply notes that the answer to the newest report carries a start.
func (m *Machine) NoteReply(orders []wire.Command) {
	m.ReplySequence, m.replyAt, m.settled = m.Sequence, m.LastMessageAt, false
	m.StartsInReply = map[string]uint64{}
	for _, o := range orders {
		if o.Verb == wire.CommandStart {
			m.StartsInReply[o.Task] = o.Attempt
		}
	}
}

// StartUncertain tells whether a start may still arrive that was sent by a call without an answer. A higher token
// voids it.
func (m *Machine) StartUncertain() bool { return m.FencingToken <= m.AmbiguousToken }

// StartMayArrive tells whether a start that was sent may still take effect. One in the answer to a report
// does before the next report, and no later than a worker waits for answers.
func (m *Machine) StartMayArrive(now Micros) bool {
	return m.StartInFlight || m.StartUncertain() || m.replyAt != 0 && now-m.replyAt <= replyTimeout+replyTimeout/100
}

// NoteCall notes a direct call.
func (m *Machine) NoteCall(now Micros, id, token uint64, start bool) {
	m.CallInFlight, m.StartInFlight, m.NextCallAt, m.callID, m.callToken = true, start, now, id, token
	if start {
		m.settled = false
	}
}

// NoteCallDone notes the end of a direct call. One of an earlier reign says
// nothing about the call that is out now.
func (m *Machine) NoteCallDone(id uint64, unanswered bool) {
	if id != m.callID {
		return
	}
	if unanswered && m.StartInFlight {
		m.AmbiguousToken = max(m.AmbiguousToken, m.callToken)
	}
	m.CallInFlight, m.StartInFlight = false, false
}

// quarantineFailures is after how many different jobs in a row failing on a machine the
// machine is held to be the cause.
const quarantineFailures = 2

// Quarantined tells whether it is the machine that fails what it is given.
func (m *Machine) Quarantined() bool { return len(m.FailedJobs) >= quarantineFailures }

// LastFailureAt is when a task failed there last, as far as that is held against it.
func (m *Machine) LastFailureAt() Micros {
	last := Micros(0)
	for _, at := range m.FailedJobs {
		last = max(last, at)
	}
	return last
}

// ByName compares machines by their names.
func ByName(a, b *Machine) int { return cmp.Compare(a.Name, b.Name) }
