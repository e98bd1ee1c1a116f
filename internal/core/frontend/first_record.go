package frontend

import (
	"errors"

	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// errRecordTooLarge is the error for a submission whose record does not fit into a value of the state service.
var errRecordTooLarge = errors.New("description too large")

const (
	// recordOverheadBytes is the size of a record without its description and placements, in bytes.
	recordOverheadBytes = 120
	// minReservedPlacements is the number of placements for which the record of an array or a service must have space.
	// Without that space, all its placements are kept in shards.
	minReservedPlacements = 16
	// placementBaseBytes is the maximum size of a placement without its zone, for a machine name of usual length.
	placementBaseBytes = 52
	// firstFormatSavingBytes is how much smaller a placement is in the first format, in bytes.
	firstFormatSavingBytes = 6
)

// initialRecord returns the record with which a job is accepted, and its encoded value. Only dependencies that are not
// done are kept. If any of them is cancelled, the job is cancelled from the start.
func (f *Frontend) initialRecord(x msg.SubmitIn, spec *wire.Job) (*job.Record, []byte, error) {
	unfinished, cancelled := f.unfinishedDependencies(spec)
	if cancelled {
		rec := &job.Record{Phase: job.Cancelled}
		value, err := job.EncodeRecord(rec, f.encoding.Format)
		return rec, value, err
	}
	spec.Dependencies = unfinished
	rec := &job.Record{Spec: spec, CreatedAt: x.WallClock}
	value, err := job.EncodeRecord(rec, f.encoding.Format)
	if err != nil {
		return nil, nil, err
	}
	size := wire.JSONSize(value)
	if size+recordOverheadBytes > f.encoding.MaxValueBytes() && f.shortenSpec(rec) {
		if value, err = job.EncodeRecord(rec, f.encoding.Format); err != nil {
			return nil, nil, err
		}
		size = wire.JSONSize(value)
	}
	if f.encoding.Format < job.FormatGrouped {
		if size > f.firstFormatMaxBytes() {
			return nil, nil, errRecordTooLarge
		}
		return rec, value, nil
	}
	if size+recordOverheadBytes > f.encoding.MaxValueBytes() {
		return nil, nil, errRecordTooLarge
	}
	rec.ShardsOnly = size+reservedPlacements(spec)*f.maxPlacementBytes() > f.encoding.MaxValueBytes()
	if rec.ShardsOnly {
		value, err = job.EncodeRecord(rec, f.encoding.Format)
	}
	return rec, value, err
}

// unfinishedDependencies returns the dependencies that are not known to be done, and whether one is known to be
// cancelled. All of them must exist.
func (f *Frontend) unfinishedDependencies(spec *wire.Job) (unfinished []string, cancelled bool) {
	for _, id := range spec.Dependencies {
		n := f.replica.Job(id) // nil if its record is not in the replica yet
		if n != nil && (n.Record.Phase == job.Cancelled || n.DependencyCancelled()) {
			return nil, true
		}
		if n == nil || n.Record.Phase != job.Done {
			unfinished = append(unfinished, id)
		}
	}
	return unfinished, false
}

// reservedPlacements returns the number of placements for which the record of a job must have space.
func reservedPlacements(spec *wire.Job) int {
	tasks := min(spec.Tasks, job.TasksPerShard)
	if spec.Shape == wire.Gang {
		return tasks
	}
	return min(tasks, minReservedPlacements) // if there is no space for the others, they wait
}

// shortenSpec removes the machine types that the cloud does not offer from a record's description. It returns false if
// it removes none.
func (f *Frontend) shortenSpec(rec *job.Record) bool {
	spec := f.catalog.WithoutUnknownTypes(rec.Spec)
	if spec == nil {
		return false
	}
	rec.Spec = spec
	return true
}

// maxPlacementBytes returns the maximum size of a placement, in bytes.
func (f *Frontend) maxPlacementBytes() int {
	longest := 0
	for _, z := range f.cfg.Cluster.Zones {
		longest = max(longest, len(z))
	}
	return placementBaseBytes + longest
}

// firstFormatMaxBytes returns the maximum size of a record without placements in the first format, in bytes. In that
// format, placements are never kept in shards alone. The size is based on the present limits of the state service:
// lower limits come into force after the upgrade, when a record can be rewritten.
func (f *Frontend) firstFormatMaxBytes() int {
	placements := job.TasksPerShard * (f.maxPlacementBytes() - firstFormatSavingBytes)
	return int(f.cfg.Cluster.State.ValueKB*1024) - placements - recordOverheadBytes
}
