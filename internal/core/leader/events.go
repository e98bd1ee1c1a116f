package leader

import (
	"coralhub/internal/core/job"
	"coralhub/internal/core/zone"
)

// EventHandler is where the owner of the zones and the keeper of the fleet bring what is news.
type EventHandler struct{ leader *Leader }

// newEventHandler returns the leader's.
func (l *Leader) newEventHandler() EventHandler { return EventHandler{l} }

// WorkerJoined hears that a machine's worker has said its first word.
func (d EventHandler) WorkerJoined(m *zone.Machine) {
	d.leader.markMachineStale(m)
	d.leader.markCacheStale(m.Name)
	d.leader.cycleDue = true
}

// MachineChanged hears that something about a machine has changed.
func (d EventHandler) MachineChanged(m *zone.Machine) { d.leader.markMachineStale(m) }

// AvailabilityChanged hears that what a machine can offer at all may have changed.
func (d EventHandler) AvailabilityChanged(m *zone.Machine) { d.leader.checkAvailability(m) }

// CacheGB tells how much of images a machine keeps; 0: not known.
func (d EventHandler) CacheGB(m *zone.Machine) float64 {
	if t := d.leader.catalog.Types[m.Type]; t != nil {
		return t.CacheGB
	}
	return 0
}

// ImagesChanged hears that a machine is believed to have other images.
func (d EventHandler) ImagesChanged(m *zone.Machine) {
	d.leader.markCacheStale(m.Name)
	d.leader.markMachineStale(m) // its zone finds it by its images
}

// TaskRunning hears that a task runs.
func (d EventHandler) TaskRunning(key job.AttemptKey) {
	d.leader.onTaskRunning(d.leader.jobs[key.Job], key)
}

// TaskExited hears that a task has ended, by its worker's word.
func (d EventHandler) TaskExited(m *zone.Machine, key job.AttemptKey, t *zone.Task) {
	d.leader.onTaskExited(m, d.leader.jobs[key.Job], key, t)
}

// ClosePlacement hears proof that a placement is over.
func (d EventHandler) ClosePlacement(key job.AttemptKey, machine string, done bool) {
	d.leader.closePlacement(key, machine, done)
}

// IsClosing tells whether that was proven before.
func (d EventHandler) IsClosing(key job.AttemptKey, machine string) bool {
	j := d.leader.jobs[key.Job]
	return j != nil && j.isClosing(key, machine)
}

// MachineSetChanged hears that a machine came or is gone.
func (d EventHandler) MachineSetChanged(machine string) { d.leader.markCacheStale(machine) }

// CapacityChanged hears that there may be more or less room.
func (d EventHandler) CapacityChanged() { d.leader.cycleDue = true }
