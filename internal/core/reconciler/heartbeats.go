package reconciler

import (
	"net/http"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// HandleHeartbeat takes a worker's heartbeat and responds with the commands for it.
func (r *Reconciler) HandleHeartbeat(x msg.HeartbeatIn) {
	m := r.EnsureMachine(x.Heartbeat.Machine)
	if !r.receive(m, &x.Heartbeat, true) {
		r.outbox.RetryLater(x.RequestID, "older than another report")
		return
	}
	commands := r.commands(m, true)
	r.checkCarriedOut(m, commands)
	if containsStart(commands) {
		m.NoteReply(commands)
	}
	m.Reachability.NoteAnswered(r.outbox.Now())
	response := wire.HeartbeatResponse{FencingToken: r.elector.FencingToken(), Commands: commands}
	r.outbox.Respond(x.RequestID, http.StatusOK, response)
}

// receive takes a message that a worker has sent to this node itself. It returns false for one that is not the newest.
func (r *Reconciler) receive(m *zone.Machine, h *wire.Heartbeat, isHeartbeat bool) bool {
	if !r.Observe(m, h, isHeartbeat) {
		return false
	}
	m.Relayed = false
	r.registry.NoteContact(m, r.outbox.Now())
	r.listener.AvailabilityChanged(m)
	return true
}

// workerState is what a worker had last reported before a message of it was applied.
type workerState struct {
	incarnation  uint64 // 0 if this is its first message
	fencingToken uint64
	silent       bool // it was known to reach nobody
	tasks        map[job.AttemptKey]zone.Task
}

// stateOf returns the state of a machine's worker. Its tasks are not copied: a message replaces the map as a whole.
func stateOf(m *zone.Machine) workerState {
	return workerState{
		incarnation:  m.Incarnation,
		fencingToken: m.FencingToken,
		silent:       m.SilentSince != 0,
		tasks:        m.Tasks,
	}
}

// Observe takes a worker's message, whichever way it came, and reconciles the records with it. It returns false for one
// that is not the newest. isHeartbeat tells heartbeats from answers to direct calls.
func (r *Reconciler) Observe(m *zone.Machine, h *wire.Heartbeat, isHeartbeat bool) bool {
	before := stateOf(m)
	if !m.ApplyHeartbeat(r.outbox.Now(), h, isHeartbeat) {
		return false
	}
	isFirst := before.incarnation == 0
	if silent := m.SilentSince != 0; silent != before.silent {
		r.listener.MachineChanged(m)
	}
	if isFirst {
		afterMS := (r.outbox.Now() - m.RentedAt) / 1000
		r.outbox.Log("worker joined", "machine", m.Name, "zone", m.Zone, "spot", m.Spot, "after_ms", afterMS)
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

// checkLeaseExpiry looks for a lease that has expired though the worker's heartbeats were answered in time.
func (r *Reconciler) checkLeaseExpiry(m *zone.Machine, previousIncarnation uint64) {
	if m.Incarnation == previousIncarnation {
		return
	}
	lease := config.FromSeconds(r.cfg.Cluster.Workers.LeaseS)
	if m.Reachability.NoteLeaseExpired(r.outbox.Now(), lease) {
		r.markUnreachable(m, "its lease expired though its heartbeats were answered")
	}
}

// reconcileIncarnation closes the placements of earlier incarnations, and notes a worker that counts them anew.
func (r *Reconciler) reconcileIncarnation(m *zone.Machine) {
	expected := r.replica.PlacementsOn(m.Name)
	for _, key := range job.SortedAttemptKeys(expected) {
		placedIn := expected[key].Incarnation
		switch {
		case placedIn < m.Incarnation:
			r.listener.ClosePlacement(key, m.Name, false) // with the lease, everything of that incarnation is gone
		case placedIn > m.Incarnation && m.FencingToken >= r.elector.TermStart() && !m.IncarnationReset:
			// Whoever placed it had a message of that incarnation, and this message was sent after this
			// node's election. A worker that counts from the start again may be about to carry out older
			// commands: only the machine's deletion proves anything.
			m.IncarnationReset = true
			r.outbox.Log("worker incarnation reset", "machine", m.Name, "incarnation", m.Incarnation, "placed_in", placedIn)
			r.listener.MachineChanged(m)
		}
	}
}

// reconcileTasks notifies the listener of the tasks that run or have exited, and of the images that the worker has.
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
		p, open := expected[key]
		if !open || p.Incarnation != m.Incarnation {
			continue
		}
		if _, known := before.tasks[key]; !known && sameIncarnation {
			r.markReachable(m) // it has carried out a start
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
