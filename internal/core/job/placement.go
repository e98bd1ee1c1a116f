package job

import "sort"

// Placement states that a task may be running on a machine. It stays open until there is proof
// that the task is not there any more.
type Placement struct {
	//lint:ignore U1000 read by the encoder: a placement is encoded as an array, to be short
	_msgpack    struct{} `msgpack:",as_array"`
	Task        int
	Attempt     uint64
	Machine     string
	Incarnation uint64 // of the machine's worker
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

// SortedAttemptKeys returns the keys of a map in the order of job, task and attempt.
func SortedAttemptKeys[V any](m map[AttemptKey]V) []AttemptKey {
	keys := make([]AttemptKey, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := keys[i], keys[j]
		if a.Job != b.Job {
			return a.Job < b.Job
		}
		if a.Task != b.Task {
			return a.Task < b.Task
		}
		return a.Attempt < b.Attempt
	})
	return keys
}
