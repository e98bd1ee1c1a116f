package frontend

import (
	"maps"
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/outbox"
)

// cancelDeadline is how long a cancellation waits for the leader before its user is asked to try again.
const cancelDeadline = 400 * config.Second / 1000

// waitingCancel is a recorded cancellation that waits until the leader has cancelled the job.
type waitingCancel struct {
	requestID uint64
	deadline  Micros
}

// waitingCancels holds the cancellations that wait for the leader, by job.
type waitingCancels struct {
	outbox *outbox.Outbox
	byJob  map[string][]waitingCancel
}

// add adds a cancellation of a job.
func (w *waitingCancels) add(requestID uint64, jobID string) {
	w.byJob[jobID] = append(w.byJob[jobID], waitingCancel{requestID, w.outbox.Now() + cancelDeadline})
}

// remove removes the cancellations of a job, and returns the IDs of their requests.
func (w *waitingCancels) remove(jobID string) []uint64 {
	var requestIDs []uint64
	for _, c := range w.byJob[jobID] {
		requestIDs = append(requestIDs, c.requestID)
	}
	delete(w.byJob, jobID)
	return requestIDs
}

// refuseLate asks the users whose cancellations have waited too long to try again.
func (w *waitingCancels) refuseLate() {
	for _, id := range slices.Sorted(maps.Keys(w.byJob)) {
		w.byJob[id] = slices.DeleteFunc(w.byJob[id], w.refuseIfLate)
		if len(w.byJob[id]) == 0 {
			delete(w.byJob, id)
		}
	}
}

// refuseIfLate asks the user of a cancellation that has waited too long to try again, and reports whether it did.
func (w *waitingCancels) refuseIfLate(c waitingCancel) bool {
	late := w.outbox.Now() >= c.deadline
	if late {
		w.outbox.RetryLater(c.requestID, "tasks are being stopped")
	}
	return late
}
