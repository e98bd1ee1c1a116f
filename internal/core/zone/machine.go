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
	Rented                 Micros // when this node first knew of it

	// From the newest message, by (session, sequence).
	Session, Seq, Token uint64
	Tasks               map[job.Key]Task
	Heard               Micros // when the newest message came
	Spoke               Micros // when the worker was last in touch with us itself, see Roster.Touch
	Mailed              bool   // the newest message came by way of the state service
	Wanted              bool   // the next report is to come to the leader itself
	NoticeAt            Micros // when the cloud takes it; 0: no notice
	Cache               Cache  // images that it is believed to have

	// What may still be on its way. A start that was sent by a direct call
	// without an answer may be executed as long as the worker has seen no
	// token above Ambiguous; one in the answer to a report is executed before
	// the worker's next report, or never.
	Direct      bool // a direct call is out
	DirectStart bool // and it carries a start
	Ambiguous   uint64
	ReplySeq    uint64            // last report whose answer carried a start
	replyAt     Micros            // when that came, until a report follows it; 0: none is awaited
	Asked       map[string]uint64 // the starts that it carried: attempts, by task
	directToken uint64
	directID    uint64
	settled     bool

	Used  Res   // what is placed here, or about to be
	Stale bool  // to be looked at again before the next pass
	Room  *Room // what it offers; nil: nothing

	Urgent       bool // has commands that should not wait for the next report
	DirectAt     Micros
	Releasing    bool
	Doomed       bool // a deletion without an answer may still be executed
	ReleasedAt   Micros
	Failed       bool   // the cloud says that it has stopped by itself
	Unlisted     Micros // since when the cloud's lists lack it; 0: they don't
	IdleSince    Micros
	FullUntil    Micros
	Errors       map[string]Micros // jobs that failed here since the last success
	Retried      bool              // it is given work though it seems faulty, to see whether it still is
	Hearing      Hearing
	SessionReset bool // its worker has forgotten sessions: it can't be told what is over there
	// Mute is since when its worker is known to reach nobody; 0: it does. Calls reach it and are answered,
	// but its lease has ended and no report of the session after that has come by any way: what runs there
	// ends with each lease, whatever is called.
	Mute Micros

	known bool          // in a roster
	place *list.Element // in its order of silence; nil: none
}

// New returns a machine that has said nothing yet.
func New(name, addr, typ, zone string, spot bool, rented Micros) *Machine {
	return &Machine{Name: name, Addr: addr, Type: typ, Zone: zone, Spot: spot, Rented: rented,
		Tasks: map[job.Key]Task{}, Errors: map[string]Micros{}}
}

// Describe takes what others than its worker say of a machine, until the worker
// itself has said it; an empty address says nothing. It returns false after that.
func (m *Machine) Describe(addr, typ, zone string, spot bool) bool {
	if m.Session != 0 {
		return false
	}
	m.Type, m.Zone, m.Spot = typ, zone, spot
	if addr != "" {
		m.Addr = addr
	}
	return true
}

// Ingest takes a worker's message. It returns false if an equally new or newer
// one has been taken already: that changes nothing. isReport tells reports
// from the answers to direct calls.
func (m *Machine) Ingest(now Micros, r *wire.Report, isReport bool) bool {
	if r.Session < m.Session || r.Session == m.Session && r.Seq <= m.Seq {
		return false
	}
	switch {
	case isReport:
		m.Mute = 0
	case m.Session != 0 && r.Session > m.Session && m.Mute == 0:
		m.Mute = now
	}
	if r.Session > m.Session {
		m.ReplySeq, m.replyAt = 0, 0
	}
	if isReport { // there is one at a time: the answer to the one before it has been taken, or never will be
		m.replyAt = 0
	}
	m.Session, m.Seq, m.Heard = r.Session, r.Seq, now
	m.Wanted = m.Wanted && !isReport
	m.Token = max(m.Token, r.Token)
	m.Addr, m.Type, m.Zone, m.Spot = r.Addr, r.Type, r.Zone, r.Spot
	m.NoticeAt = 0
	if r.NoticeS != nil {
		m.NoticeAt = now + config.FromSeconds(*r.NoticeS)
	}
	tasks := make(map[job.Key]Task, len(r.Tasks))
	for _, t := range r.Tasks {
		id, n, ok := wire.ParseTaskName(t.Task)
		if !ok {
			continue
		}
		key := job.Key{Job: id, Task: n, Attempt: t.Attempt}
		since := now
		if old, had := m.Tasks[key]; had && old.State == t.State {
			since = old.Since
		}
		tasks[key] = Task{t.State, t.Cause, t.Saved, since}
	}
	m.Tasks = tasks
	m.settled = isReport && !m.DirectStart && m.Token > m.Ambiguous && r.Seq > m.ReplySeq
	return true
}

// Beat notes that the worker's home has answered a report that says no more than
// the newest message. It returns false if that is no news.
func (m *Machine) Beat(now Micros, session, seq uint64) bool {
	if session != m.Session || seq <= m.Seq {
		return false
	}
	m.Seq, m.Heard, m.Mailed, m.Mute = seq, now, false, 0
	return true
}

// Absolves tells whether the success of a task that began to run at that time says
// that the machine is sound: one that ran before others failed says nothing.
func (m *Machine) Absolves(began Micros) bool {
	for _, failed := range m.Errors {
		if began <= failed {
			return false
		}
	}
	return true
}

// Settled tells whether no start that was sent to the worker can still take
// effect without the newest message showing its attempt.
func (m *Machine) Settled() bool { return m.settled && !m.DirectStart }

// SentByReply notes that the answer to the newest report carries a start.
func (m *Machine) SentByReply(orders []wire.Order) {
	m.ReplySeq, m.replyAt, m.settled = m.Seq, m.Heard, false
	m.Asked = map[string]uint64{}
	for _, o := range orders {
		if o.Verb == wire.Start {
			m.Asked[o.Task] = o.Attempt
		}
	}
}

// Unsure tells whether a start may still arrive that was sent by a call without an answer. A higher token
// voids it.
func (m *Machine) Unsure() bool { return m.Token <= m.Ambiguous }

// StartOnItsWay tells whether a start that was sent may still take effect. One in the answer to a report
// does before the next report, and no later than a worker waits for answers.
func (m *Machine) StartOnItsWay(now Micros) bool {
	return m.DirectStart || m.Unsure() || m.replyAt != 0 && now-m.replyAt <= answerTime+answerTime/100
}

// SentDirect notes a direct call.
func (m *Machine) SentDirect(now Micros, id, token uint64, start bool) {
	m.Direct, m.DirectStart, m.DirectAt, m.directID, m.directToken = true, start, now, id, token
	if start {
		m.settled = false
	}
}

// DirectOver notes the end of a direct call. One of an earlier reign says
// nothing about the call that is out now.
func (m *Machine) DirectOver(id uint64, unanswered bool) {
	if id != m.directID {
		return
	}
	if unanswered && m.DirectStart {
		m.Ambiguous = max(m.Ambiguous, m.directToken)
	}
	m.Direct, m.DirectStart = false, false
}

// sickJobs is after how many different jobs in a row failing on a machine the
// machine is held to be the cause.
const sickJobs = 2

// Sick tells whether it is the machine that fails what it is given.
func (m *Machine) Sick() bool { return len(m.Errors) >= sickJobs }

// LastFailed is when a task failed there last, as far as that is held against it.
func (m *Machine) LastFailed() Micros {
	last := Micros(0)
	for _, at := range m.Errors {
		last = max(last, at)
	}
	return last
}

// ByName compares machines by their names.
func ByName(a, b *Machine) int { return cmp.Compare(a.Name, b.Name) }
