// Package reconciler makes the workers' tasks match the committed records. It runs on the leader: it handles
// heartbeats, sends the commands that the records require, and determines which attempts are over. It starts no task
// whose placement is not committed, and closes no placement without proof that the attempt is over.
package reconciler

import (
	"coralhub/internal/config"
	"coralhub/internal/core/election"
	"coralhub/internal/core/job"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/records"
	"coralhub/internal/core/zone"
)

// Micros is a time or a duration in whole microseconds.
type Micros = config.Micros

// Listener is notified of what a Reconciler detects. The leader implements it and writes the records.
type Listener interface {
	WorkerJoined(*zone.Machine)                                   // the worker has sent its first message
	MachineChanged(*zone.Machine)                                 // something about the machine has changed
	AvailabilityChanged(*zone.Machine)                            // whether tasks may be placed on it may have changed
	ImagesChanged(*zone.Machine)                                  // the images assumed to be on the machine have changed
	CacheGB(*zone.Machine) float64                                // size of the image cache in GB, 0 if not known
	TaskRunning(key job.AttemptKey)                               // the worker reports the task as running
	TaskExited(m *zone.Machine, key job.AttemptKey, t *zone.Task) // the worker reports the task as exited
	ClosePlacement(key job.AttemptKey, machine string, done bool) // the attempt is proven over; done if it succeeded
	IsClosing(key job.AttemptKey, machine string) bool            // whether that end is proven but not committed yet
}

// Reconciler reconciles the workers of the cluster with the records. It is active while its node leads.
type Reconciler struct {
	cfg      *config.Config
	outbox   *outbox.Outbox
	replica  *records.Replica
	elector  *election.Elector // provides the fencing token of each command
	listener Listener

	active       bool // the records have been read since the election
	registry     *zone.Registry
	unfenced     map[*zone.Machine]bool                    // have not reported a fencing token of this term
	unreachable  map[*zone.Machine]bool                    // seem to receive no messages
	urgent       []*zone.Machine                           // have commands that should not wait for a heartbeat
	terminations map[string]map[job.AttemptKey]termination // pending, by job

	settledRevision
	takeover
	tokensRaised int
}

// New returns an inactive reconciler.
func New(
	cfg *config.Config, out *outbox.Outbox, replica *records.Replica, elector *election.Elector, listener Listener,
) *Reconciler {
	r := &Reconciler{cfg: cfg, outbox: out, replica: replica, elector: elector, listener: listener}
	r.Reset()
	return r
}

// Reset discards all state that belongs to one term. Addresses and images of machines are kept.
func (r *Reconciler) Reset() {
	previous := r.registry
	r.active = false
	r.registry = zone.NewRegistry()
	r.unfenced = map[*zone.Machine]bool{}
	r.unreachable = map[*zone.Machine]bool{}
	r.urgent = nil
	r.terminations = map[string]map[job.AttemptKey]termination{}
	r.settledRevision = settledRevision{}
	r.takeover = takeover{}
	if previous == nil {
		return
	}
	for _, m := range previous.All() {
		fresh := zone.New(m.Name, m.Addr, m.Type, m.Zone, m.Spot, m.RentedAt)
		fresh.Images = m.Images
		r.registry.Add(fresh)
	}
}

// Activate starts sending commands to workers. The caller must have read the stored records since its node was elected.
func (r *Reconciler) Activate() {
	r.active = true
	for _, name := range r.replica.OccupiedMachines() {
		r.EnsureMachine(name)
	}
	for _, m := range r.registry.All() {
		r.unfenced[m] = true
	}
	r.beginTakeover()
}

// Registry returns the known machines.
func (r *Reconciler) Registry() *zone.Registry { return r.registry }

// EnsureMachine returns the machine with a name, and registers it first if it is unknown.
func (r *Reconciler) EnsureMachine(name string) *zone.Machine {
	m := r.registry.Get(name)
	if m == nil {
		m = zone.New(name, "", "", "", false, r.outbox.Now())
		r.registry.Add(m)
		if r.active {
			r.unfenced[m] = true
			r.listener.MachineChanged(m)
		}
	}
	if m.UncertainStartToken == 0 && r.elector.TermStart() > 0 {
		m.UncertainStartToken = r.elector.TermStart() - 1 // commands of earlier leaders may be in flight
	}
	return m
}
