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

// environment is what the components of a leader share: the node's other components, the jobs, and
// the term. Only the Leader changes it, except for the fields of jobs.
type environment struct {
	cfg        *config.Config
	outbox     *outbox.Outbox
	replica    *records.Replica
	encoding   *records.Encoding
	catalog    *zone.Catalog
	elector    *election.Elector
	reconciler *reconciler.Reconciler
	autoscaler *autoscaler.Autoscaler

	// wallClockOffset is the time of day minus the monotonic time, for the age of jobs that were
	// submitted before this node started. Only the order of jobs depends on it.
	wallClockOffset Micros

	teams      map[string]*config.Team // by name
	jobs       map[string]*Job         // by ID: the jobs of the replica
	unfinished []*Job                  // oldest first: the cost of a scheduling cycle must not grow with the finished jobs

	ready     bool   // this node leads, and has read the records since it was elected
	term      uint64 // counts resets, to recognize answers that belong to an earlier term
	failovers uint64 // how often this node was elected
}

// wallClock returns the time of day; 0: not known yet.
func (e *environment) wallClock() Micros {
	if e.wallClockOffset == 0 {
		return 0
	}
	return e.outbox.Now() + e.wallClockOffset
}

// applyRecord applies a change of a job's record, a placement page or a page of the completion log to the replica.
func (e *environment) applyRecord(change *wire.Change) {
	if _, err := e.replica.Apply(change); err != nil {
		e.outbox.Log("stored value unreadable", "error", err.Error())
	}
}

// setUnfinished adds a job to the list of unfinished jobs or removes it. The list is sorted by creation
// time and ID.
func (e *environment) setUnfinished(j *Job, unfinished bool) {
	if unfinished == j.unfinished {
		return
	}
	if unfinished {
		j.orderedBy = j.Record.CreatedAt
	}
	i, _ := slices.BinarySearchFunc(e.unfinished, j, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.orderedBy, b.orderedBy), cmp.Compare(a.ID, b.ID))
	})
	j.unfinished = unfinished
	if unfinished {
		e.unfinished = slices.Insert(e.unfinished, i, j)
	} else {
		e.unfinished = slices.Delete(e.unfinished, i, i+1)
	}
}

// setArrival sets the arrival time of a job from its record.
func (e *environment) setArrival(j *Job) {
	if j.Record.CreatedAt > 0 && e.wallClockOffset > 0 && !j.HasDependencies() {
		j.arrivedAt = min(e.outbox.Now(), j.Record.CreatedAt-e.wallClockOffset)
	}
}
