package reconciler

import (
	"maps"
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

const (
	// callRetryInterval is the minimum time before the next direct call to a machine after one was not answered.
	callRetryInterval = config.Second
	// announceInterval is the time between calls that announce the fencing token to a machine.
	announceInterval = 2 * config.Second
)

// MarkUrgent schedules a direct call that sends a machine its commands at the end of the step.
func (r *Reconciler) MarkUrgent(m *zone.Machine) {
	if !m.Urgent {
		m.Urgent = true
		r.urgent = append(r.urgent, m)
	}
}

// SendUrgent makes the direct calls scheduled by MarkUrgent, whose commands should not wait for a heartbeat. A machine
// that cannot be called yet stays scheduled.
func (r *Reconciler) SendUrgent() {
	if r.elector.TokenChangePending() || len(r.urgent) == 0 {
		return
	}
	waiting := r.urgent
	r.urgent = nil
	for _, m := range waiting {
		if m.Releasing || r.registry.Get(m.Name) != m {
			m.Urgent = false
			continue
		}
		if m.CallInFlight || m.Addr == "" || r.outbox.Now() < m.NextCallAt {
			r.urgent = append(r.urgent, m)
			continue
		}
		m.Urgent = false
		if m.Incarnation == 0 {
			continue
		}
		if commands := r.commands(m, false); len(commands) > 0 {
			r.call(m, commands)
		}
	}
}

// call makes a direct call to a machine. No other call to it may be in flight.
func (r *Reconciler) call(m *zone.Machine, commands []wire.Command) {
	id := r.outbox.NextID()
	token := r.token(m)
	m.NoteCall(r.outbox.Now(), id, token, commands)
	request := wire.CommandRequest{FencingToken: token, Incarnation: max(m.Incarnation, 1), Commands: commands}
	r.outbox.Emit(msg.Command{ID: id, Machine: m.Name, Addr: m.Addr, Commands: request})
}

// CommandDone handles the result of a direct call.
func (r *Reconciler) CommandDone(x msg.CommandDone) {
	m := r.registry.Get(x.Machine)
	if !r.active || m == nil {
		return
	}
	m.NoteCallDone(x.ID, x.Outcome == msg.Unknown)
	if x.Outcome != msg.OK {
		m.NextCallAt = r.outbox.Now() + callRetryInterval
		m.NeedsFullHeartbeat = true // the commands have to be sent in a heartbeat response
	}
	h := x.Heartbeat
	if h == nil || h.Machine != m.Name {
		return
	}
	r.markReachable(m)
	if r.OfLaterLeader(h.FencingToken) {
		r.elector.Resign("a worker has seen a higher fencing token")
		return
	}
	r.receive(m, h, false)
}

// canCall reports whether a direct call to a machine is possible now.
func canCall(m *zone.Machine) bool { return m.Addr != "" && !m.CallInFlight && !m.Releasing }

// AnnounceToken sends the fencing token to machines that have not reported one of this term yet. Workers then
// ignore an earlier leader that still answers them although it is cut off from the other nodes.
func (r *Reconciler) AnnounceToken() {
	for _, m := range slices.SortedFunc(maps.Keys(r.unfenced), zone.ByName) {
		if m.FencingToken >= r.elector.TermStart() || !m.Registered() {
			delete(r.unfenced, m)
			continue
		}
		if canCall(m) && r.outbox.Now() >= m.NextCallAt {
			m.NextCallAt = r.outbox.Now() + announceInterval
			r.call(m, nil)
		}
	}
}

// CallWorkersWithoutContact calls workers without direct contact for at least half the worker timeout. Possibly only
// their heartbeats are lost, and calls still reach them.
func (r *Reconciler) CallWorkersWithoutContact() {
	r.registry.EachWithoutContactSince(r.outbox.Now()-r.cfg.WorkerTimeout()/2+1, func(m *zone.Machine) {
		if m.Incarnation != 0 && canCall(m) && r.outbox.Now() >= m.NextCallAt {
			m.NextCallAt = r.outbox.Now() + callRetryInterval
			r.call(m, r.commands(m, false))
		}
	})
}
