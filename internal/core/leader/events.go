package leader

import (
	"coralhub/internal/core/job"
	"coralhub/internal/core/zone"
)

// EventHandler takes what the reconciler and the autoscaler find out about machines and tasks, and
// passes it to the components that it concerns.
type EventHandler struct {
	*environment
	commits      *jobCommitter
	scheduler    *scheduler
	snapshot     *clusterSnapshot
	machineCache *machineCache
	tasks        *taskEvents
}

// EventHandler returns what the reconciler and the autoscaler report their events to.
func (l *Leader) EventHandler() *EventHandler {
	return &EventHandler{environment: l.environment, commits: l.commits, scheduler: l.scheduler, snapshot: l.snapshot,
		machineCache: l.machineCache, tasks: l.taskEvents}
}

// WorkerJoined takes the first message of a machine's worker.
func (h *EventHandler) WorkerJoined(m *zone.Machine) {
	h.snapshot.markMachineStale(m)
	h.machineCache.markCacheStale(m.Name)
	h.scheduler.cycleDue = true
}

// MachineChanged takes any change of a machine.
func (h *EventHandler) MachineChanged(m *zone.Machine) { h.snapshot.markMachineStale(m) }

// AvailabilityChanged takes a change that may decide whether a machine gets work at all.
func (h *EventHandler) AvailabilityChanged(m *zone.Machine) { h.snapshot.checkAvailability(m) }

// CacheGB returns the size of a machine's image cache in GB; 0 if it is not known.
func (h *EventHandler) CacheGB(m *zone.Machine) float64 {
	if t := h.catalog.Types[m.Type]; t != nil {
		return t.CacheGB
	}
	return 0
}

// ImagesChanged takes a change of the images that a machine is believed to have.
func (h *EventHandler) ImagesChanged(m *zone.Machine) {
	h.machineCache.markCacheStale(m.Name)
	h.snapshot.markMachineStale(m) // its zone finds it by its images
}

// TaskRunning takes a worker's word that a task runs.
func (h *EventHandler) TaskRunning(key job.AttemptKey) {
	h.tasks.onTaskRunning(h.jobs[key.Job], key)
}

// TaskExited takes a worker's word that a task has ended.
func (h *EventHandler) TaskExited(m *zone.Machine, key job.AttemptKey, t *zone.Task) {
	h.tasks.onTaskExited(m, h.jobs[key.Job], key, t)
}

// ClosePlacement takes the proof that a task's attempt is not on a machine any more.
func (h *EventHandler) ClosePlacement(key job.AttemptKey, machine string, done bool) {
	h.commits.closePlacement(key, machine, done)
}

// IsClosing reports whether there is such proof already, and it is only not committed yet.
func (h *EventHandler) IsClosing(key job.AttemptKey, machine string) bool {
	j := h.jobs[key.Job]
	return j != nil && j.isClosing(key, machine)
}

// MachineSetChanged takes a machine's coming or going.
func (h *EventHandler) MachineSetChanged(machine string) { h.machineCache.markCacheStale(machine) }

// CapacityChanged takes a change of the free capacity as a whole.
func (h *EventHandler) CapacityChanged() { h.scheduler.cycleDue = true }
