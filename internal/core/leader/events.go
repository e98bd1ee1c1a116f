package leader

import (
	"coralhub/internal/core/job"
	"coralhub/internal/core/zone"
)

// EventHandler receives events about machines and tasks from the reconciler and the autoscaler, and passes them to the
// components that handle them.
type EventHandler struct{ leader *Leader }

// EventHandler returns the handler for events of the reconciler and the autoscaler.
func (l *Leader) EventHandler() EventHandler { return EventHandler{l} }

// WorkerJoined is called for the first message of a machine's worker.
func (h EventHandler) WorkerJoined(m *zone.Machine) {
	h.leader.snapshot.markMachineStale(m)
	h.leader.machineCache.MarkStale(m.Name)
	h.leader.scheduler.requestCycle()
}

// MachineChanged is called for any change of a machine.
func (h EventHandler) MachineChanged(m *zone.Machine) { h.leader.snapshot.markMachineStale(m) }

// AvailabilityChanged is called when it may have changed whether any tasks can be placed on a machine.
func (h EventHandler) AvailabilityChanged(m *zone.Machine) { h.leader.snapshot.checkAvailability(m) }

// CacheGB returns the size of a machine's image cache in GB, or 0 if it is not known.
func (h EventHandler) CacheGB(m *zone.Machine) float64 {
	if t := h.leader.catalog.Types[m.Type]; t != nil {
		return t.CacheGB
	}
	return 0
}

// ImagesChanged is called when the set of images changes that are assumed to be in a machine's cache.
func (h EventHandler) ImagesChanged(m *zone.Machine) {
	h.leader.machineCache.MarkStale(m.Name)
	h.leader.snapshot.markMachineStale(m) // its zone indexes machines by their images
}

// TaskRunning is called when a worker reports that a task is running.
func (h EventHandler) TaskRunning(key job.AttemptKey) {
	h.leader.taskEvents.onTaskRunning(h.leader.jobs[key.Job], key)
}

// TaskExited is called when a worker reports that a task has ended.
func (h EventHandler) TaskExited(m *zone.Machine, key job.AttemptKey, t *zone.Task) {
	h.leader.taskEvents.onTaskExited(m, h.leader.jobs[key.Job], key, t)
}

// ClosePlacement is called when it is proven that a task's attempt is no longer on a machine. done is true if the
// task succeeded.
func (h EventHandler) ClosePlacement(key job.AttemptKey, machine string, done bool) {
	h.leader.completions.closePlacement(key, machine, done)
}

// IsClosing reports whether ClosePlacement was called for an attempt and its end is not committed yet.
func (h EventHandler) IsClosing(key job.AttemptKey, machine string) bool {
	j := h.leader.jobs[key.Job]
	return j != nil && j.isClosing(key, machine)
}

// MachineSetChanged is called when a machine was added or removed.
func (h EventHandler) MachineSetChanged(machine string) { h.leader.machineCache.MarkStale(machine) }

// CapacityChanged is called when the free capacity of the cluster has changed.
func (h EventHandler) CapacityChanged() { h.leader.scheduler.requestCycle() }
