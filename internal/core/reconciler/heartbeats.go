package reconciler

import (
	"net/http"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// HandleHeartbeat handles a worker's heartbeat and responds with the commands for the worker.
func (r *Reconciler) HandleHeartbeat(x msg.HeartbeatIn) {
	m := r.EnsureMachine(x.Heartbeat.Machine)
	if !r.receive(m, &x.Heartbeat, true) {
		r.outbox.RetryLater(x.RequestID, "older than another report")
		return
	}
	r.raiseTokenForExited(m)
	commands := r.commands(m, true)
	r.checkStartsExecuted(m, commands)
	if zone.ContainsStart(commands) {
		m.NoteReply(commands)
	}
	m.Reachability.NoteAnswered(r.outbox.Now())
	response := wire.HeartbeatResponse{FencingToken: r.token(m), Commands: commands}
	r.outbox.Respond(x.RequestID, http.StatusOK, response)
}

// receive applies a message that a worker has sent directly to this node. It returns false if an equally new or newer
// one was applied before.
func (r *Reconciler) receive(m *zone.Machine, h *wire.Heartbeat, isHeartbeat bool) bool {
	if !r.Observe(m, h, isHeartbeat) {
		return false
	}
	m.Relayed = false
	r.registry.NoteContact(m, r.outbox.Now())
	r.listener.AvailabilityChanged(m)
	return true
}

// workerState is the state of a worker before a message from it is applied.
type workerState struct {
	incarnation    uint64 // 0 if the message is its first one
	fencingToken   uint64
	heartbeatsLost bool // its heartbeats were known to reach no node
	tasks          map[job.AttemptKey]zone.Task
}

// stateOf returns the state of a machine's worker. The map of tasks is not copied, since each message replaces it.
func stateOf(m *zone.Machine) workerState {
	return workerState{
		incarnation:    m.Incarnation,
		fencingToken:   m.FencingToken,
		heartbeatsLost: m.HeartbeatsLostSince != 0,
		tasks:          m.Tasks,
	}
}

// Observe applies a worker's message, whether it was received directly or through a relay, and reconciles the records
// with it. It returns false if an equally new or newer one was applied before. isHeartbeat is set for a heartbeat that
// the worker has sent directly to this node, but not for answers to direct calls and for relayed heartbeats.
func (r *Reconciler) Observe(m *zone.Machine, h *wire.Heartbeat, isHeartbeat bool) bool {
	before := stateOf(m)
	if !m.ApplyHeartbeat(r.outbox.Now(), h, isHeartbeat) {
		return false
	}
	isFirst := before.incarnation == 0
	if lost := m.HeartbeatsLostSince != 0; lost != before.heartbeatsLost {
		r.listener.MachineChanged(m)
	}
	if isFirst {
		r.logJoined(m)
		r.listener.WorkerJoined(m)
	} else {
		r.checkLeaseExpiry(m, before.incarnation)
	}
	r.reconcileIncarnation(m)
	if m.ReclaimedAt != 0 {
		r.evictGracefully(m)
	}
	if !isFirst && m.FencingToken > before.fencingToken {
		r.markReachable(m)
	}
	r.reconcileTasks(m, before)
	return true
}

// checkLeaseExpiry marks a machine unreachable if its lease has expired although its heartbeats were answered in time.
func (r *Reconciler) checkLeaseExpiry(m *zone.Machine, previousIncarnation uint64) {
	if m.Incarnation == previousIncarnation {
		return
	}
	lease := config.FromSeconds(r.cfg.Cluster.Workers.LeaseS)
	if m.Reachability.NoteLeaseExpired(r.outbox.Now(), lease) {
		r.markUnreachable(m, "lease expired although heartbeats were answered")
	}
}

// reconcileIncarnation closes the placements of earlier incarnations, and detects a worker whose incarnation was reset.
func (r *Reconciler) reconcileIncarnation(m *zone.Machine) {
	expected := r.replica.PlacementsOn(m.Name)
	for _, key := range job.SortedAttemptKeys(expected) {
		placedIn := expected[key].Incarnation
		switch {
		case placedIn < m.Incarnation:
			r.listener.ClosePlacement(key, m.Name, false) // all its tasks ended when its lease expired
		case placedIn > m.Incarnation && m.FencingToken >= r.elector.TermStart() && !m.IncarnationReset:
			// The leader that placed it had received a message of that incarnation, and this message was sent
			// after this node's election: the worker has restarted its count of incarnations. It may still
			// carry out older commands, so only the machine's deletion proves that an attempt is over.
			m.IncarnationReset = true
			r.outbox.Log("worker incarnation reset", "machine", m.Name, "incarnation", m.Incarnation, "placed_in", placedIn)
			r.listener.MachineChanged(m)
		}
	}
}

// reconcileTasks notifies the listener of tasks that run or have exited, and of changes to the images on the machine.
func (r *Reconciler) reconcileTasks(m *zone.Machine, before workerState) {
	sameIncarnation := before.incarnation != 0 && m.Incarnation == before.incarnation
	expected := r.replica.PlacementsOn(m.Name)
	images := map[string]float64{}
	for _, key := range job.SortedAttemptKeys(m.Tasks) {
		t := m.Tasks[key]
		hasImage := t.State != wire.Fetching && t.State != wire.Exited
		if j := r.replica.Job(key.Job); hasImage && j != nil && j.Record.Spec != nil {
			images[j.Record.Spec.Image] = j.Record.Spec.ImageGB
		}
		_, known := before.tasks[key]
		p, open := expected[key]
		if !open && !known && sameIncarnation && t.State != wire.Exited {
			r.logUnplaced(m, key, &t)
		}
		if !open || p.Incarnation != m.Incarnation {
			continue
		}
		if !known && sameIncarnation {
			r.markReachable(m) // the worker has carried out a start, so commands reach it
		}
		switch t.State {
		case wire.Running:
			r.listener.TaskRunning(key)
		case wire.Exited:
			r.listener.TaskExited(m, key, &t)
		}
	}
	if m.Images.Update(r.listener.CacheGB(m), images) {
		r.listener.ImagesChanged(m)
	}
}
