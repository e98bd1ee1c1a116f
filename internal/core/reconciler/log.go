package reconciler

import (
	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// takeover tracks which workers have joined a new leader, for one log line in place of one for each.
type takeover struct {
	startedAt Micros
	awaited   map[*zone.Machine]bool // known at the start of the term, and not joined yet; nil once that is logged
	joined    int
}

func (r *Reconciler) beginTakeover() {
	r.takeover = takeover{startedAt: r.outbox.Now(), awaited: map[*zone.Machine]bool{}}
	for _, m := range r.registry.All() {
		r.awaited[m] = true
	}
}

// logJoined logs the first message of a worker.
func (r *Reconciler) logJoined(m *zone.Machine) {
	log := r.outbox.Log
	if r.awaited[m] {
		delete(r.awaited, m)
		r.joined++
		log = r.outbox.Debug
	}
	afterMS := (r.outbox.Now() - m.RentedAt) / 1000
	log("worker joined", "machine", m.Name, "zone", m.Zone, "spot", m.Spot, "after_ms", afterMS)
}

// LogTakeoverIfDone logs how many workers have joined this leader, once all known ones have joined or the lease of those
// that have not has expired. It is called periodically.
func (r *Reconciler) LogTakeoverIfDone() {
	lease := config.FromSeconds(r.cfg.Cluster.Workers.LeaseS)
	elapsed := r.outbox.Now() - r.startedAt
	if r.awaited == nil || len(r.awaited) > 0 && elapsed <= lease {
		return
	}
	r.outbox.Log("workers joined the new leader", "joined", r.joined, "missing", len(r.awaited),
		"fencing_token", r.elector.FencingToken(), "after_ms", elapsed/1000)
	r.awaited = nil
}

// logUnplaced logs that a worker has begun to run an attempt without a placement. Only a start command that should have
// had no effect can be the cause.
func (r *Reconciler) logUnplaced(m *zone.Machine, key job.AttemptKey, t *zone.Task) {
	r.outbox.Log("task runs without a placement", "task", wire.TaskName(key.Job, key.Task), "attempt", key.Attempt,
		"machine", m.Name, "incarnation", m.Incarnation, "reported_token", m.FencingToken, "state", t.State)
}
