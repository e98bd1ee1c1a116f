// Package records implements a node's replica of the committed state of jobs: their records and
// shards, the completion log, the placement pages, and the dependencies between jobs. It applies
// changes in any order, and notifies a listener of their effects. It makes no decisions and writes
// nothing to the state service.
package records

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/wire"
)

// Micros is a time or a duration in whole microseconds.
type Micros = config.Micros

// Listener is notified of the effects of changes, in the order in which they occur.
type Listener interface {
	JobAdded(*Job)                                      // the job was added to the replica
	PlacementsChanged(j *Job, old, now []job.Placement) // open placements of one shard or page entry were replaced
	PlanOutdated(*Job)                                  // a newer value was applied, so existing plans are stale
	RecordChanged(*Job)                                 // a newer record was applied
	JobFinished(*Job)                                   // a record with a final phase was applied
	JobChanged(*Job)                                    // any state of the job may have changed
	DependenciesMet(*Job)                               // the last of the job's dependencies is done
	DependencyCancelled(*Job)                           // a direct or indirect dependency of the job is cancelled
}

// Replica is one node's copy of the committed records. It is not safe for concurrent use.
type Replica struct {
	listener        Listener
	jobs            map[string]*Job
	completionPages map[uint64]*CompletionPage
	placementPages  map[uint64]*PlacementPage
	openByMachine   map[string]map[job.AttemptKey]job.Placement // open placements by machine name

	currentAt              Micros
	revision               uint64
	placementPagesRevision uint64 // revision of the last change of any placement page
}

// New returns an empty Replica.
func New(listener Listener) *Replica {
	return &Replica{
		listener:        listener,
		jobs:            map[string]*Job{},
		completionPages: map[uint64]*CompletionPage{},
		placementPages:  map[uint64]*PlacementPage{},
		openByMachine:   map[string]map[job.AttemptKey]job.Placement{},
	}
}

// Apply applies a put or a delete of a record, shard, completion page or placement page. It returns
// false for any other key. If a value cannot be decoded, it returns an error and applies nothing.
// A change that is not newer than the replica's version of the key is ignored.
func (r *Replica) Apply(change *wire.Change) (bool, error) {
	key := change.Put
	if key == "" {
		key = change.Delete
	}
	if number, ok := strings.CutPrefix(key, completionPrefix); ok {
		n, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			return true, fmt.Errorf("parse page number in completion log key %q: %w", key, err)
		}
		return true, r.applyCompletionPage(n, change)
	}
	if number, ok := strings.CutPrefix(key, placementPagePrefix); ok {
		n, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			return true, fmt.Errorf("parse page number in placement page key %q: %w", key, err)
		}
		return true, r.applyPlacementPage(n, change)
	}
	id, n, ok := job.ParseKey(key)
	switch {
	case !ok:
		return false, nil
	case n > 0:
		return true, r.applyShard(id, n, change)
	default:
		return true, r.applyRecord(id, change)
	}
}

// ApplyListing drops the shards and completion pages that are no newer than a listing of the given
// revision and not in it, which means that they were deleted.
func (r *Replica) ApplyListing(revision uint64, listed map[string]bool) {
	for _, id := range slices.Sorted(maps.Keys(r.jobs)) {
		j := r.jobs[id]
		for n := range j.Shards {
			if v := j.Shards[n].Version; v != 0 && v <= revision && !listed[job.ShardKey(id, n+1)] {
				r.SetShard(j, n+1, job.Shard{}, 0)
			}
		}
	}
	for _, n := range r.CompletionPages() {
		if r.completionPages[n].Version <= revision && !listed[CompletionPageKey(n)] {
			r.DropCompletionPage(n)
		}
	}
}

// NoteCurrent records that the replica was current at the given time.
func (r *Replica) NoteCurrent(at Micros) { r.currentAt = max(r.currentAt, at) }

// CurrentAt returns the latest time at which the replica was current.
func (r *Replica) CurrentAt() Micros { return r.currentAt }

// NoteRevision records that the replica holds all changes up to a revision.
func (r *Replica) NoteRevision(revision uint64) { r.revision = max(r.revision, revision) }

// Revision returns the latest revision up to which the replica holds all changes.
func (r *Replica) Revision() uint64 { return r.revision }

// Job returns a job, or nil if the replica does not have it.
func (r *Replica) Job(id string) *Job { return r.jobs[id] }

// UnknownJobs returns those of the ids for which the replica has no record.
func (r *Replica) UnknownJobs(ids []string) []string {
	var unknown []string
	for _, id := range ids {
		if j := r.jobs[id]; j == nil || j.Version == 0 {
			unknown = append(unknown, id)
		}
	}
	return unknown
}

// getOrAddJob returns a job, and adds it if the replica does not have it yet.
func (r *Replica) getOrAddJob(id string) *Job {
	j := r.jobs[id]
	if j == nil {
		j = &Job{ID: id}
		r.jobs[id] = j
		r.listener.JobAdded(j)
	}
	return j
}
