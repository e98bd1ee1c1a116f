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
	// callRetryInterval is the least time between direct calls to a machine when one was not answered.
	callRetryInterval = config.Second
	// announceInterval is the time between calls that announce the fencing token to a machine.
	announceInterval = 2 * config.Second
)

// MarkUrgent has commands sent to a machine by a direct call at the end of the step.
func (r *Reconciler) MarkUrgent(m *zone.Machine) {
	if !m.Urgent {
		m.Urgent = true
		r.urgent = append(r.urgent, m)
	}
}

// SendUrgent makes the direct calls that should not wait for a heartbeat.
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

// call makes a direct call to a machine that has none in flight.
func (r *Reconciler) call(m *zone.Machine, commands []wire.Command) {
	id := r.outbox.NextID()
	token := r.elector.FencingToken()
	m.NoteCall(r.outbox.Now(), id, token, containsStart(commands))
	request := wire.CommandRequest{FencingToken: token, Incarnation: max(m.Incarnation, 1), Commands: commands}
	r.outbox.Emit(msg.Command{ID: id, Machine: m.Name, Addr: m.Addr, Commands: request})
}

// CommandDone takes the result of a direct call.
func (r *Reconciler) CommandDone(x msg.CommandDone) {
	m := r.registry.Get(x.Machine)
	if !r.active || m == nil {
		return
	}
	m.NoteCallDone(x.ID, x.Outcome == msg.Unknown)
	if x.Outcome != msg.OK {
		m.NextCallAt = r.outbox.Now() + callRetryInterval
		m.WantsFullHeartbeat = true // the commands have to go by the response to a heartbeat
	}
	h := x.Heartbeat
	if h == nil || h.Machine != m.Name {
		return
	}
	r.markReachable(m)
	if h.FencingToken > r.elector.FencingToken() && !r.elector.TokenChangePending() {
		r.elector.Resign("a worker has seen a higher fencing token")
		return
	}
	r.receive(m, h, false)
}

// canCall reports whether a direct call to a machine is possible now.
func canCall(m *zone.Machine) bool { return m.Addr != "" && !m.CallInFlight && !m.Releasing }

// AnnounceToken sends the fencing token to machines that have not reported it yet. That frees workers that an earlier
// leader, cut off from the other nodes, still answers.
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

// ProbeSilent calls workers whose heartbeats have not come for a while: it may be only these that are lost.
func (r *Reconciler) ProbeSilent() {
	r.registry.EachSilent(r.outbox.Now()-r.cfg.SilenceLimit()/2+1, func(m *zone.Machine) {
		if m.Incarnation != 0 && canCall(m) && r.outbox.Now() >= m.NextCallAt {
			m.NextCallAt = r.outbox.Now() + callRetryInterval
			r.call(m, r.commands(m, false))
		}
	})
}
