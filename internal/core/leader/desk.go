package leader

import (
	"coralhub/internal/core/job"
	"coralhub/internal/core/zone"
)

// Desk is where the owner of the zones and the keeper of the fleet bring what is news.
type Desk struct{ l *Leader }

// Desk returns the leader's.
func (l *Leader) Desk() Desk { return Desk{l} }

// Joined hears that a machine's worker has said its first word.
func (d Desk) Joined(m *zone.Machine) {
	d.l.touch(m)
	d.l.noteMachine(m.Name)
	d.l.passDue = true
}

// Looks hears that something about a machine has changed.
func (d Desk) Looks(m *zone.Machine) { d.l.touch(m) }

// MayOffer hears that what a machine can offer at all may have changed.
func (d Desk) MayOffer(m *zone.Machine) { d.l.reconsider(m) }

// CacheGB tells how much of images a machine keeps; 0: not known.
func (d Desk) CacheGB(m *zone.Machine) float64 {
	if t := d.l.catalog.Types[m.Type]; t != nil {
		return t.CacheGB
	}
	return 0
}

// Cached hears that a machine is believed to have other images.
func (d Desk) Cached(m *zone.Machine) {
	d.l.noteMachine(m.Name)
	d.l.touch(m) // its zone finds it by its images
}

// Running hears that a task runs.
func (d Desk) Running(key job.Key) { d.l.running(d.l.jobs[key.Job], key) }

// Exited hears that a task has ended, by its worker's word.
func (d Desk) Exited(m *zone.Machine, key job.Key, t *zone.Task) {
	d.l.exited(m, d.l.jobs[key.Job], key, t)
}

// Close hears proof that a placement is over.
func (d Desk) Close(key job.Key, machine string, done bool) { d.l.close(key, machine, done) }

// Closing tells whether that was proven before.
func (d Desk) Closing(key job.Key, machine string) bool {
	j := d.l.jobs[key.Job]
	return j != nil && j.isClosing(key, machine)
}

// Moved hears that a machine came or is gone.
func (d Desk) Moved(machine string) { d.l.noteMachine(machine) }

// Changed hears that there may be more or less room.
func (d Desk) Changed() { d.l.passDue = true }
