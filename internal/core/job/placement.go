package job

import (
	"cmp"
	"maps"
	"slices"
)

// Placement states that a task may be running on a machine. It remains open until there is proof
// that the task is no longer there.
type Placement struct {
	//lint:ignore U1000 read by the encoder: a placement is encoded as an array, to be short
	_msgpack    struct{} `msgpack:",as_array"`
	Task        int
	Attempt     uint64
	Machine     string
	Incarnation uint64 // incarnation of the machine's worker
	Zone        string
	PlacedAt    int64 `msgpack:"-"` // see EncodeTime; stored with groups from FormatPreemption on
	Spot        bool  `msgpack:"-"` // whether the machine is a spot instance
}

// AttemptKey returns the key of the attempt that p places.
func (p Placement) AttemptKey(job string) AttemptKey { return AttemptKey{job, p.Task, p.Attempt} }

// AttemptKey identifies an attempt of a task.
type AttemptKey struct {
	Job     string
	Task    int
	Attempt uint64
}

// compare orders keys by job, task and attempt.
func (k AttemptKey) compare(other AttemptKey) int {
	switch {
	case k.Job != other.Job:
		return cmp.Compare(k.Job, other.Job)
	case k.Task != other.Task:
		return cmp.Compare(k.Task, other.Task)
	}
	return cmp.Compare(k.Attempt, other.Attempt)
}

// SortedAttemptKeys returns the keys of a map in the order of job, task and attempt.
func SortedAttemptKeys[V any](m map[AttemptKey]V) []AttemptKey {
	keys := slices.AppendSeq(make([]AttemptKey, 0, len(m)), maps.Keys(m))
	slices.SortFunc(keys, AttemptKey.compare)
	return keys
}
