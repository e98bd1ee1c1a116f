package leader

import (
	"cmp"
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/autoscaler"
	"coralhub/internal/core/election"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/reconciler"
	"coralhub/internal/core/records"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// environment is the state shared by the components of a leader: the node's other components, the jobs and the term.
// Only the Leader modifies it; the fields of a Job are modified by the components that own them.
type environment struct {
	cfg        *config.Config
	outbox     *outbox.Outbox
	replica    *records.Replica
	encoding   *records.Encoding
	catalog    *zone.Catalog
	elector    *election.Elector
	reconciler *reconciler.Reconciler
	autoscaler *autoscaler.Autoscaler

	// wallClockOffset is the time of day minus the monotonic time, 0 if not known yet. It gives the age of jobs that
	// were submitted before this node started. Only the order of jobs depends on it.
	wallClockOffset Micros

	teams      map[string]*config.Team // by name
	jobs       map[string]*Job         // by ID: all jobs in the replica
	unfinished []*Job                  // oldest first; finished jobs must not add to the cost of a scheduling cycle

	ready     bool   // this node leads and has read the records since it was elected
	term      uint64 // number of resets, to recognize responses that belong to an earlier term
	failovers uint64 // number of times that this node was elected
}

// wallClock returns the time of day, or 0 if it is not known yet.
func (e *environment) wallClock() Micros {
	if e.wallClockOffset == 0 {
		return 0
	}
	return e.outbox.Now() + e.wallClockOffset
}

// applyRecord applies a change of a job's record, a placement page or a page of the completion log to the replica. It
// logs values that can't be decoded.
func (e *environment) applyRecord(change *wire.Change) {
	if _, err := e.replica.Apply(change); err != nil {
		e.outbox.Log("stored value unreadable", "error", err.Error())
	}
}

// setUnfinished adds a job to the list of unfinished jobs or removes it from the list, which is sorted by creation time
// and ID.
func (e *environment) setUnfinished(j *Job, unfinished bool) {
	if unfinished == j.unfinished {
		return
	}
	if unfinished {
		j.sortTime = j.Record.CreatedAt
	}
	i, _ := slices.BinarySearchFunc(e.unfinished, j, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.sortTime, b.sortTime), cmp.Compare(a.ID, b.ID))
	})
	j.unfinished = unfinished
	if unfinished {
		e.unfinished = slices.Insert(e.unfinished, i, j)
	} else {
		e.unfinished = slices.Delete(e.unfinished, i, i+1)
	}
}

// setArrival sets the arrival time of a job without dependencies from the creation time in its record, if the time of
// day is known.
func (e *environment) setArrival(j *Job) {
	if j.Record.CreatedAt > 0 && e.wallClockOffset > 0 && !j.HasDependencies() {
		j.arrivedAt = min(e.outbox.Now(), j.Record.CreatedAt-e.wallClockOffset)
	}
}
