// Package zone holds the leader's view of the machines and plans placements on them, zone by zone.
// For each machine it keeps what its worker last reported, and which commands in flight to the
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

// Machine is a machine with its worker, as one node knows it.
type Machine struct {
	Instance
	Report
	Contact
	InFlight
	Capacity
	Lifecycle
	Faults

	registered     bool          // in a Registry
	silenceElement *list.Element // in the Registry's order of silence; nil: not tracked
}

// Instance is what kind of machine it is. The cloud says so first, then the worker itself.
type Instance struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	RentedAt               Micros // when this node first knew of the machine
}

// Report is the content of the worker's newest message, by incarnation and sequence.
type Report struct {
	Incarnation, Sequence, FencingToken uint64
	Tasks                               map[job.AttemptKey]Task
	ReclaimedAt                         Micros // when the cloud takes the spot instance back; 0: no notice
}

// Contact is when and how messages from and to the worker came through.
type Contact struct {
	LastMessageAt      Micros // when the newest message came, by any way
	LastContactAt      Micros // when the worker was last in direct contact, see Registry.NoteContact
	Relayed            bool   // the newest message came through the state service
	WantsFullHeartbeat bool   // the next heartbeat is to come directly to the leader
	// SilentSince is since when the worker is known to reach nobody; 0: it reaches someone. Calls to
	// it are answered, but its lease has expired and no heartbeat of the later incarnation has come
	// by any way: what runs there ends with each lease, whatever is called.
	SilentSince  Micros
	Reachability Reachability
}

// InFlight is what may be in flight to the worker. A start in a direct call without an answer may
// be executed as long as the worker has seen no fencing token above AmbiguousToken. A start in the
// response to a heartbeat is executed before the worker's next heartbeat, or never.
type InFlight struct {
	CallInFlight   bool // there is a direct call without an answer yet
	StartInFlight  bool // and it contains a start
	AmbiguousToken uint64
	ReplySequence  uint64            // the last heartbeat whose response contained a start
	StartsInReply  map[string]uint64 // the starts in that response: attempts by task
	Urgent         bool              // there are commands that should not wait for the next heartbeat
	NextCallAt     Micros

	replyAt   Micros // when that heartbeat came, until the next one; 0: none is expected
	callToken uint64 // of the newest direct call
	callID    uint64
	settled   bool // as of the newest message, see Machine.Settled
}

// Capacity is what the machine can take.
type Capacity struct {
	Allocated Resources  // by what is placed or planned here
	Images    ImageCache // images that it is believed to have
	FullUntil Micros     // it has rejected a task for lack of capacity: no placements before then
	Stale     bool       // it has changed since the cluster snapshot was updated
	Offer     *Offer     // its offer in the cluster snapshot; nil: none
}

// Lifecycle is how the machine relates to scaling: whether it stopped, is idle or is being deleted.
type Lifecycle struct {
	Failed            bool   // the cloud says that it has stopped by itself
	UnlistedSince     Micros // since when the cloud's lists lack it; 0: they contain it
	IdleSince         Micros // 0: it is not idle
	Releasing         bool   // its deletion was requested
	ReleaseSentAt     Micros
	DeletionUncertain bool // a deletion without an answer may still be executed
}

// Faults is what speaks against placing tasks on the machine.
type Faults struct {
	FailedJobs       map[string]Micros // when jobs failed here since the last success
	OnProbation      bool              // it gets tasks though it is quarantined, to see whether it still fails
	IncarnationReset bool              // its worker has lost its incarnation number: it can't be known what is over there
}

// New returns a machine whose worker has sent nothing yet.
func New(name, addr, typ, zone string, spot bool, rented Micros) *Machine {
	return &Machine{
		Instance: Instance{Name: name, Addr: addr, Type: typ, Zone: zone, Spot: spot, RentedAt: rented},
		Report:   Report{Tasks: map[job.AttemptKey]Task{}},
		Faults:   Faults{FailedJobs: map[string]Micros{}},
	}
}

// Describe sets what others than its worker say of a machine; an empty address is ignored. It does
// nothing and returns false once the worker itself has reported.
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

// ApplyHeartbeat applies a message of the worker: a heartbeat, or the answer to a direct call, which
// has the same content. It does nothing and returns false if an equally new or newer one was applied
// before.
func (m *Machine) ApplyHeartbeat(now Micros, h *wire.Heartbeat, isHeartbeat bool) bool {
	if h.Incarnation < m.Incarnation || h.Incarnation == m.Incarnation && h.Sequence <= m.Sequence {
		return false
	}
	m.updateContact(now, h, isHeartbeat)
	m.updateExpectedReply(h, isHeartbeat)
	m.applyReport(now, h)
	m.settled = isHeartbeat && !m.StartInFlight && m.FencingToken > m.AmbiguousToken && h.Sequence > m.ReplySequence
	return true
}

// updateContact records that a message came, before it is applied. A later incarnation that only
// shows in the answer to a call means that the worker's heartbeats have reached nobody.
func (m *Machine) updateContact(now Micros, h *wire.Heartbeat, isHeartbeat bool) {
	switch {
	case isHeartbeat:
		m.SilentSince = 0
	case m.Incarnation != 0 && h.Incarnation > m.Incarnation && m.SilentSince == 0:
		m.SilentSince = now
	}
	m.LastMessageAt = now
	m.WantsFullHeartbeat = m.WantsFullHeartbeat && !isHeartbeat
}

// updateExpectedReply forgets the start in an earlier response that can't be executed any more,
// before the message is applied. There is one heartbeat at a time: by the next one the worker has
// received the response to the one before, or never will.
func (m *Machine) updateExpectedReply(h *wire.Heartbeat, isHeartbeat bool) {
	if h.Incarnation > m.Incarnation {
		m.ReplySequence = 0
		m.replyAt = 0
	}
	if isHeartbeat {
		m.replyAt = 0
	}
}

// applyReport applies the content of a message.
func (m *Machine) applyReport(now Micros, h *wire.Heartbeat) {
	m.Incarnation = h.Incarnation
	m.Sequence = h.Sequence
	m.FencingToken = max(m.FencingToken, h.FencingToken)
	m.Addr, m.Type, m.Zone, m.Spot = h.Addr, h.Type, h.Zone, h.Spot
	m.ReclaimedAt = 0
	if h.NoticeS != nil {
		m.ReclaimedAt = now + config.FromSeconds(*h.NoticeS)
	}
	m.Tasks = m.reportedTasks(now, h.Tasks)
}

// reportedTasks converts reported tasks, and keeps the time of those whose state has not changed.
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

// ApplyAck records that the worker's relay has answered a heartbeat with the content of the newest
// message. It does nothing and returns false if an equally new or newer message was applied before.
func (m *Machine) ApplyAck(now Micros, incarnation, seq uint64) bool {
	if incarnation != m.Incarnation || seq <= m.Sequence {
		return false
	}
	m.Sequence = seq
	m.LastMessageAt = now
	m.Relayed = false
	m.SilentSince = 0
	return true
}

// Settled reports whether no start that was sent to the worker can still take effect without the
// newest message showing its attempt.
func (m *Machine) Settled() bool { return m.settled && !m.StartInFlight }

// NoteReply records that the response to the newest heartbeat contains a start.
func (m *Machine) NoteReply(commands []wire.Command) {
	m.ReplySequence = m.Sequence
	m.replyAt = m.LastMessageAt
	m.settled = false
	m.StartsInReply = map[string]uint64{}
	for _, c := range commands {
		if c.Verb == wire.CommandStart {
			m.StartsInReply[c.Task] = c.Attempt
		}
	}
}

// StartUncertain reports whether a start in a call without an answer may still arrive. A higher
// fencing token voids it.
func (m *Machine) StartUncertain() bool { return m.FencingToken <= m.AmbiguousToken }

// replyClockTolerance is the inverse of the rate by which a worker's clock may be slow.
const replyClockTolerance = 100

// StartMayArrive reports whether a start that was sent may still take effect. One in the response to
// a heartbeat does before the next heartbeat, and no later than a worker waits for responses.
func (m *Machine) StartMayArrive(now Micros) bool {
	replyMayArrive := m.replyAt != 0 && now-m.replyAt <= replyTimeout+replyTimeout/replyClockTolerance
	return m.StartInFlight || m.StartUncertain() || replyMayArrive
}

// NoteCall records that a direct call was sent under a fencing token. start says that it contains a
// start.
func (m *Machine) NoteCall(now Micros, id, token uint64, start bool) {
	m.CallInFlight = true
	m.StartInFlight = start
	m.NextCallAt = now
	m.callID = id
	m.callToken = token
	if start {
		m.settled = false
	}
}

// NoteCallDone records the end of a direct call. One of an earlier term says nothing about the call
// that is in flight now.
func (m *Machine) NoteCallDone(id uint64, unanswered bool) {
	if id != m.callID {
		return
	}
	if unanswered && m.StartInFlight {
		m.AmbiguousToken = max(m.AmbiguousToken, m.callToken)
	}
	m.CallInFlight = false
	m.StartInFlight = false
}

// quarantineFailures is the number of different jobs that have to fail in a row on a machine for the
// machine to be considered the cause.
const quarantineFailures = 2

// Quarantined reports whether the machine is considered the cause of the failures on it.
func (m *Machine) Quarantined() bool { return len(m.FailedJobs) >= quarantineFailures }

// ClearedBySuccess reports whether the success of a task that started to run at a time shows that
// the machine is sound. One that ran before others failed shows nothing.
func (m *Machine) ClearedBySuccess(startedAt Micros) bool {
	for _, failedAt := range m.FailedJobs {
		if startedAt <= failedAt {
			return false
		}
	}
	return true
}

// LastFailureAt returns when a task last failed on the machine since the last success, 0 for never.
func (m *Machine) LastFailureAt() Micros {
	last := Micros(0)
	for _, failedAt := range m.FailedJobs {
		last = max(last, failedAt)
	}
	return last
}

// ByName compares machines by their names.
func ByName(a, b *Machine) int { return cmp.Compare(a.Name, b.Name) }
