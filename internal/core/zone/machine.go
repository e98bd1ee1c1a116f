// Package zone holds the leader's state of the machines and plans placements on them, zone by zone.
// For each machine it stores the last report of its worker, and which commands in flight to the
// worker may still take effect.
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
	Since Micros // when this state was first reported
}

// Machine is one node's state of a machine and its worker.
type Machine struct {
	Instance
	Report
	Contact
	InFlight
	Capacity
	Lifecycle
	Faults

	registered     bool          // whether it is in a Registry
	contactElement *list.Element // in Registry.byLastContact, nil if contact is not tracked
}

// Instance identifies and describes the machine. The cloud supplies the description until the worker reports it.
type Instance struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	RentedAt               Micros // by its age in the cloud's list, or when this node first registered the machine
}

// Report is the content of the worker's newest message, in the order of incarnation and sequence.
type Report struct {
	Incarnation, Sequence, FencingToken uint64
	Tasks                               map[job.AttemptKey]Task
	ReclaimedAt                         Micros // when the cloud reclaims the spot instance, 0 without a notice
}

// Contact records when and by which path messages from and to the worker were delivered.
type Contact struct {
	LastMessageAt      Micros // when the newest message arrived, by any path
	LastContactAt      Micros // when the worker was last in direct contact, see Registry.NoteContact
	Relayed            bool   // the newest message arrived through the state service
	NeedsFullHeartbeat bool   // the next heartbeat has to be sent directly to the leader
	// HeartbeatsLostSince is the time since when the worker's heartbeats are known to reach no node, 0 if
	// they reach one. They are known to be lost if a call shows that the worker has begun another
	// incarnation, so its lease has expired, and no heartbeat of that incarnation has arrived by any path.
	// Calls don't renew the lease, so the worker's tasks end each time that it expires.
	HeartbeatsLostSince Micros
	Reachability        Reachability
}

// InFlight tracks commands that may be in flight to the worker. A start in a direct call without an
// answer may be executed as long as the worker has seen no fencing token above
// UncertainStartToken. A start in the response to a heartbeat is executed before the worker's next
// heartbeat, or never.
type InFlight struct {
	CallInFlight        bool // a direct call is waiting for its answer
	StartInFlight       bool // that call contains a start
	UncertainStartToken uint64
	ReplySequence       uint64            // sequence of the last heartbeat whose response contained a start
	StartsInReply       map[string]uint64 // the starts in that response, as attempts by task
	Urgent              bool              // there are commands that should not wait for the next heartbeat
	NextCallAt          Micros
	// RaisedToken is the fencing token of messages to the worker if it is higher than that of the leader's election:
	// a later revision, of the same term, that makes the worker drop copies of earlier calls. 0 if there is none.
	RaisedToken uint64

	startCalls     startCalls
	replyAt        Micros // when that heartbeat arrived, 0 after the next heartbeat or in a new incarnation
	callToken      uint64 // fencing token of the newest direct call
	callID         uint64
	startsResolved bool // as of the newest message, see Machine.StartsResolved
}

// Capacity describes the capacity of the machine that is in use or available.
type Capacity struct {
	Allocated Resources  // needs of the tasks placed or planned on it
	Images    ImageCache // images that are assumed to be cached
	FullUntil Micros     // no placements before then, as it has rejected a task for lack of capacity
	Stale     bool       // it has changed since the cluster snapshot was updated
	Offer     *Offer     // its offer in the cluster snapshot, nil if it has none
}

// Lifecycle is the state of the machine that matters for scaling: whether it has stopped, is idle or is being deleted.
type Lifecycle struct {
	Failed            bool   // the cloud reports that it has stopped without a request to do so
	UnlistedSince     Micros // since when it is missing from the cloud's lists, 0 if they contain it
	IdleSince         Micros // 0 if it is not idle
	Releasing         bool   // its deletion was requested
	ReleaseSentAt     Micros
	DeletionUncertain bool // a deletion without an answer may still be executed
}

// Faults holds the failures on the machine, which may prevent the placement of tasks on it.
type Faults struct {
	FailedJobs       map[string]Micros // times of failures since the last success, by job
	OnProbation      bool              // tasks are placed on it despite its quarantine, to test whether it still fails
	IncarnationReset bool              // its worker has lost its incarnation number: which tasks ended is unknown
}

// New returns a machine whose worker has not sent a message.
func New(name, addr, machineType, zone string, spot bool, rentedAt Micros) *Machine {
	return &Machine{
		Instance: Instance{Name: name, Addr: addr, Type: machineType, Zone: zone, Spot: spot, RentedAt: rentedAt},
		Report:   Report{Tasks: map[job.AttemptKey]Task{}},
		Faults:   Faults{FailedJobs: map[string]Micros{}},
	}
}

// Describe sets the description of a machine from a source other than its worker. An empty address is
// ignored. Once the worker has sent a message, it does nothing and returns false.
func (m *Machine) Describe(addr, machineType, zone string, spot bool) bool {
	if m.Incarnation != 0 {
		return false
	}
	m.Type, m.Zone, m.Spot = machineType, zone, spot
	if addr != "" {
		m.Addr = addr
	}
	return true
}

// ApplyHeartbeat applies a message of the worker: a heartbeat, or the answer to a direct call, which
// has the same content. It does nothing and returns false if an equally new or newer message was
// already applied.
func (m *Machine) ApplyHeartbeat(now Micros, h *wire.Heartbeat, isHeartbeat bool) bool {
	if h.Incarnation < m.Incarnation || h.Incarnation == m.Incarnation && h.Sequence <= m.Sequence {
		return false
	}
	m.updateContact(now, h, isHeartbeat)
	m.updateExpectedReply(h, isHeartbeat)
	m.applyReport(now, h)
	m.startsResolved = isHeartbeat && !m.StartInFlight && m.FencingToken > m.UncertainStartToken &&
		h.Sequence > m.ReplySequence
	return true
}

// updateContact records that a message arrived. It is called before the message is applied. If the first
// message of a later incarnation is the answer to a call, the worker's heartbeats reach no node.
func (m *Machine) updateContact(now Micros, h *wire.Heartbeat, isHeartbeat bool) {
	switch {
	case isHeartbeat:
		m.HeartbeatsLostSince = 0
	case m.Incarnation != 0 && h.Incarnation > m.Incarnation && m.HeartbeatsLostSince == 0:
		m.HeartbeatsLostSince = now
	}
	m.LastMessageAt = now
	m.NeedsFullHeartbeat = m.NeedsFullHeartbeat && !isHeartbeat
}

// updateExpectedReply discards the record of a start in an earlier response that can no longer be executed.
// It is called before the message is applied. A worker has only one heartbeat in flight: when it sends the
// next one, it has received the response to the previous one, or never will.
func (m *Machine) updateExpectedReply(h *wire.Heartbeat, isHeartbeat bool) {
	if h.Incarnation > m.Incarnation {
		m.ReplySequence = 0
		m.replyAt = 0
		clear(m.startCalls)
	}
	if isHeartbeat {
		m.replyAt = 0
	}
}

// applyReport replaces the state reported by the worker by the content of a message.
func (m *Machine) applyReport(now Micros, h *wire.Heartbeat) {
	m.Incarnation = h.Incarnation
	m.Sequence = h.Sequence
	m.FencingToken = max(m.FencingToken, h.FencingToken)
	m.startCalls.discardBelow(m.FencingToken)
	m.Addr, m.Type, m.Zone, m.Spot = h.Addr, h.Type, h.Zone, h.Spot
	m.ReclaimedAt = 0
	if h.NoticeS != nil {
		m.ReclaimedAt = now + config.FromSeconds(*h.NoticeS)
	}
	m.Tasks = m.reportedTasks(now, h.Tasks)
}

// reportedTasks converts reported tasks, and keeps Since of those whose state has not changed.
func (m *Machine) reportedTasks(now Micros, reported []wire.TaskStatus) map[job.AttemptKey]Task {
	tasks := make(map[job.AttemptKey]Task, len(reported))
	for _, t := range reported {
		id, n, ok := wire.ParseTaskName(t.Task)
		if !ok {
			continue
		}
		key := job.AttemptKey{Job: id, Task: n, Attempt: t.Attempt}
		since := now
		if old, had := m.Tasks[key]; had && old.State == t.State {
			since = old.Since
		}
		tasks[key] = Task{State: t.State, Cause: t.Cause, Saved: t.Saved, Since: since}
	}
	return tasks
}

// ApplyAck records that the worker's relay has answered a heartbeat with the same content as the newest
// message. It does nothing and returns false if the incarnation differs, or if an equally new or newer
// message was already applied.
func (m *Machine) ApplyAck(now Micros, incarnation, seq uint64) bool {
	if incarnation != m.Incarnation || seq <= m.Sequence {
		return false
	}
	m.Sequence = seq
	m.LastMessageAt = now
	m.Relayed = false
	m.HeartbeatsLostSince = 0
	return true
}

// StartsResolved reports whether no start that was sent to the worker can still take effect without the
// newest message showing its attempt.
func (m *Machine) StartsResolved() bool { return m.startsResolved && !m.StartInFlight }

// NoteReply records the commands of the response to the newest heartbeat. It is called if they contain a start.
func (m *Machine) NoteReply(commands []wire.Command) {
	m.ReplySequence = m.Sequence
	m.replyAt = m.LastMessageAt
	m.startsResolved = false
	m.StartsInReply = map[string]uint64{}
	for _, c := range commands {
		if c.Verb == wire.CommandStart {
			m.StartsInReply[c.Task] = c.Attempt
		}
	}
}

// StartUncertain reports whether a start in a call without an answer may still arrive. The worker
// rejects it once it has seen a higher fencing token.
func (m *Machine) StartUncertain() bool { return m.FencingToken <= m.UncertainStartToken }

// replyClockTolerance is the inverse of the fraction by which a worker's clock may run slower than this node's.
const replyClockTolerance = 100

// StartMayArrive reports whether a start that was sent may still take effect. A start in the response to
// a heartbeat takes effect before the next heartbeat and within replyTimeout by the worker's clock, or never.
func (m *Machine) StartMayArrive(now Micros) bool {
	replyMayArrive := m.replyAt != 0 && now-m.replyAt <= replyTimeout+replyTimeout/replyClockTolerance
	return m.StartInFlight || m.StartUncertain() || replyMayArrive
}

// NoteCall records that a direct call with commands was sent under a fencing token.
func (m *Machine) NoteCall(now Micros, id, token uint64, commands []wire.Command) {
	m.CallInFlight = true
	m.StartInFlight = ContainsStart(commands)
	m.NextCallAt = now
	m.callID = id
	m.callToken = token
	m.startCalls.note(token, commands)
	if m.StartInFlight {
		m.startsResolved = false
	}
}

// NoteCallDone records the end of a direct call. Calls of an earlier term are ignored, as their results do
// not apply to the call that is in flight now.
func (m *Machine) NoteCallDone(id uint64, unanswered bool) {
	if id != m.callID {
		return
	}
	if unanswered && m.StartInFlight {
		m.UncertainStartToken = max(m.UncertainStartToken, m.callToken)
	}
	m.CallInFlight = false
	m.StartInFlight = false
}

// quarantineFailures is the number of different jobs that have to fail on a machine, without a success in
// between, for the machine to be considered the cause.
const quarantineFailures = 2

// Quarantined reports whether the machine is considered the cause of the failures on it.
func (m *Machine) Quarantined() bool { return len(m.FailedJobs) >= quarantineFailures }

// ClearedBySuccess reports whether the success of a task that started to run at startedAt shows that the
// machine is healthy. A task that started before the last failure is no evidence.
func (m *Machine) ClearedBySuccess(startedAt Micros) bool {
	for _, failedAt := range m.FailedJobs {
		if startedAt <= failedAt {
			return false
		}
	}
	return true
}

// LastFailureAt returns when a task last failed on the machine since the last success, or 0 if none has.
func (m *Machine) LastFailureAt() Micros {
	last := Micros(0)
	for _, failedAt := range m.FailedJobs {
		last = max(last, failedAt)
	}
	return last
}

// ByName compares machines by their names.
func ByName(a, b *Machine) int { return cmp.Compare(a.Name, b.Name) }
