package records

import (
	"fmt"

	"coralhub/internal/core/job"
	"coralhub/wire"
)

// applyRecord applies a put or a delete of a record. Records are never deleted, so deletes are ignored.
func (r *Replica) applyRecord(id string, change *wire.Change) error {
	if change.Put == "" {
		return nil
	}
	if old := r.jobs[id]; old != nil && old.Version >= change.Version {
		return nil
	}
	var record job.Record
	if err := job.DecodeRecord(change.Value, &record); err != nil {
		return fmt.Errorf("decode record of %s: %w", id, err)
	}
	r.SetRecord(id, record, change.Version)
	return nil
}

// SetRecord replaces the record of a job by a newer one. The caller must have compared the versions.
func (r *Replica) SetRecord(id string, record job.Record, version uint64) {
	j := r.getOrAddJob(id)
	old := j.Record.Open
	j.Record = record
	j.Version = version
	if record.Spec != nil {
		j.applyCompletions(0, &j.Record.Shard)
	}
	r.replacePlacements(j, old, j.Record.Open)
	if j.Archived() {
		r.dropPageEntries(j)
	}
	j.raiseLastAttempt()
	r.listener.PlanOutdated(j)
	r.listener.RecordChanged(j)
	r.linkDependencies(j)
	if record.Final() {
		if record.Spec == nil {
			r.clearShards(j)
		}
		r.listener.JobFinished(j)
		r.notifyDependents(j)
	}
	j.recount()
	r.listener.JobChanged(j)
}

// clearShards drops the contents of an archived job's shards. It keeps their versions, since their
// keys may still have to be deleted.
func (r *Replica) clearShards(j *Job) {
	for n := range j.Shards {
		r.replacePlacements(j, j.Shards[n].Open, nil)
		j.Shards[n].Shard = job.Shard{}
	}
}

// ShortenSpec replaces a job's spec by a shorter one that leads to the same decisions, and returns
// true. If spec is nil, which means that there is no shorter one, it returns false.
func (r *Replica) ShortenSpec(j *Job, spec *wire.Job) bool {
	if spec != nil {
		j.Record.Spec = spec
	}
	return spec != nil
}

func (r *Replica) applyShard(id string, n int, change *wire.Change) error {
	j := r.getOrAddJob(id)
	if n <= len(j.Shards) && j.Shards[n-1].Version >= change.Version {
		return nil
	}
	var shard job.Shard
	if change.Put == "" {
		if n <= len(j.Shards) {
			r.SetShard(j, n, shard, 0)
		}
		return nil
	}
	if err := job.DecodeShard(change.Value, &shard); err != nil {
		return fmt.Errorf("decode shard %d of %s: %w", n, id, err)
	}
	r.SetShard(j, n, shard, change.Version)
	return nil
}

// SetShard replaces a shard of a job by a newer one. Version 0 means that it was deleted.
func (r *Replica) SetShard(j *Job, n int, shard job.Shard, version uint64) {
	for len(j.Shards) < n {
		j.Shards = append(j.Shards, Shard{})
	}
	if j.Archived() {
		shard = job.Shard{} // the shards of an archived job are obsolete
	}
	j.applyCompletions(n, &shard)
	r.replacePlacements(j, j.Shards[n-1].Open, shard.Open)
	j.Shards[n-1] = Shard{shard, version}
	j.recount()
	r.listener.JobChanged(j)
	r.listener.PlanOutdated(j)
}
