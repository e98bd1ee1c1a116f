package frontend

import (
	"errors"

	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// errTooLarge is a submission whose record does not fit a value of the state service.
var errTooLarge = errors.New("description too large")

const (
	// recordOverhead is what a record holds beside its description and placements, in bytes.
	recordOverhead = 120
	// minTasksInRecord is for how many placements the record of an array or a service needs space; otherwise
	// they are kept in shards alone.
	minTasksInRecord = 16
	// placementBytes is what a placement takes at most beside its zone, with a machine name of usual length.
	placementBytes = 52
	// firstFormatSlack is by how much placements of the first format are smaller.
	firstFormatSlack = 6
)

// firstRecord returns the record of a job as it is accepted, and its value. Dependencies are kept as far as they are
// not done. If any of them is cancelled, so is the job from the start.
func (f *Frontend) firstRecord(x msg.SubmitIn, spec *wire.Job) (*job.Record, []byte, error) {
	left, cancelled := f.unfinishedDependencies(spec)
	if cancelled {
		rec := &job.Record{Phase: job.Cancelled}
		value, err := job.EncodeRecord(rec, f.encoding.Format)
		return rec, value, err
	}
	spec.Needs = left
	rec := &job.Record{Spec: spec, CreatedAt: x.WallClock}
	value, err := job.EncodeRecord(rec, f.encoding.Format)
	if err != nil {
		return nil, nil, err
	}
	size := wire.JSONSize(value)
	if size+recordOverhead > f.encoding.MaxValueBytes() && f.shortenSpec(rec) {
		if value, err = job.EncodeRecord(rec, f.encoding.Format); err != nil {
			return nil, nil, err
		}
		size = wire.JSONSize(value)
	}
	if f.encoding.Format < job.FormatGrouped {
		if size > f.firstFormatLimit() {
			return nil, nil, errTooLarge
		}
		return rec, value, nil
	}
	if size+recordOverhead > f.encoding.MaxValueBytes() {
		return nil, nil, errTooLarge
	}
	rec.ShardsOnly = size+tasksInRecord(spec)*f.placementSize() > f.encoding.MaxValueBytes()
	if rec.ShardsOnly {
		value, err = job.EncodeRecord(rec, f.encoding.Format)
	}
	return rec, value, err
}

// unfinishedDependencies returns the dependencies that are not known to be done, and whether one is cancelled.
func (f *Frontend) unfinishedDependencies(spec *wire.Job) (left []string, cancelled bool) {
	for _, id := range spec.Needs {
		n := f.replica.Job(id) // nil: it exists, and its record is not in the replica yet
		if n != nil && (n.Record.Phase == job.Cancelled || n.DependencyCancelled()) {
			return nil, true
		}
		if n == nil || n.Record.Phase != job.Done {
			left = append(left, id)
		}
	}
	return left, false
}

// tasksInRecord is for how many placements a record needs space.
func tasksInRecord(spec *wire.Job) int {
	tasks := min(spec.Tasks, job.TasksPerShard)
	if spec.Shape == wire.Gang {
		return tasks
	}
	return min(tasks, minTasksInRecord) // the rest waits if need be
}

// shortenSpec takes out of a record's description what decides nothing any more. It returns false if there is nothing.
func (f *Frontend) shortenSpec(rec *job.Record) bool {
	spec := f.catalog.Slim(rec.Spec)
	if spec == nil {
		return false
	}
	rec.Spec = spec
	return true
}

// placementSize is what a placement takes at most, in bytes.
func (f *Frontend) placementSize() int {
	longest := 0
	for _, z := range f.cfg.Cluster.Zones {
		longest = max(longest, len(z))
	}
	return placementBytes + longest
}

// firstFormatLimit is how large a description may be in the first format, in which tasks are never kept in shards
// alone. It goes by the limits that the state service has now: lower ones come after the upgrade, when a record can be
// rewritten.
func (f *Frontend) firstFormatLimit() int {
	placements := job.TasksPerShard * (f.placementSize() - firstFormatSlack)
	return int(f.cfg.Cluster.State.ValueKB*1024) - placements - recordOverhead
}
