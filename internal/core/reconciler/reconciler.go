// Package reconciler brings workers in line with the committed records, on the leader: it handles their heartbeats,
// commands what the records ask of them, and proves which attempts are over. It starts nothing that is not committed,
// and closes no placement without proof.
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

// Listener is notified of what a Reconciler finds out. The leader implements it, and has the records written.
type Listener interface {
	WorkerJoined(*zone.Machine)                                   // its worker has sent its first message
	MachineChanged(*zone.Machine)                                 // any change
	AvailabilityChanged(*zone.Machine)                            // whether it gets work at all may have changed
	ImagesChanged(*zone.Machine)                                  // it is believed to have other images
	CacheGB(*zone.Machine) float64                                // size of its image cache in GB; 0: not known
	TaskRunning(key job.AttemptKey)                               // as its worker reports
	TaskExited(m *zone.Machine, key job.AttemptKey, t *zone.Task) // as its worker reports
	ClosePlacement(key job.AttemptKey, machine string, done bool) // it is proven that the attempt is not there any more
	IsClosing(key job.AttemptKey, machine string) bool            // whether that is proven already
}

// Reconciler reconciles the workers of the cluster with the records. It is active while its node leads.
type Reconciler struct {
	cfg      *config.Config
	outbox   *outbox.Outbox
	replica  *records.Replica
	elector  *election.Elector // its fencing token is on every command
	listener Listener

	active       bool // the records have been read since the election
	registry     *zone.Registry
	unfenced     map[*zone.Machine]bool                    // have not shown a fencing token of this term
	unreachable  map[*zone.Machine]bool                    // seem not to receive anything
	urgent       []*zone.Machine                           // have commands that should not wait for a heartbeat
	terminations map[string]map[job.AttemptKey]termination // pending, by job
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
	if previous == nil {
		return
	}
	for _, m := range previous.All() {
		fresh := zone.New(m.Name, m.Addr, m.Type, m.Zone, m.Spot, m.RentedAt)
		fresh.Images = m.Images
		r.registry.Add(fresh)
	}
}

// Activate starts commanding workers. The caller has read the stored records since its node was elected.
func (r *Reconciler) Activate() {
	r.active = true
	for _, name := range r.replica.OccupiedMachines() {
		r.EnsureMachine(name)
	}
	for _, m := range r.registry.All() {
		r.unfenced[m] = true
	}
}

// Registry returns the known machines.
func (r *Reconciler) Registry() *zone.Registry { return r.registry }

// EnsureMachine returns the machine of a name, and registers it if it is not known.
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
	if m.AmbiguousToken == 0 && r.elector.TermStart() > 0 {
		m.AmbiguousToken = r.elector.TermStart() - 1 // commands of earlier leaders may be in flight
	}
	return m
}
