package records

import (
	"fmt"
	"strconv"

	"coralhub/internal/core/job"
	"coralhub/wire"
)

const completionPrefix = job.KeyRoot + "ended/"

// CompletionPageKey returns the key of a page of the completion log.
func CompletionPageKey(n uint64) string { return completionPrefix + strconv.FormatUint(n, 10) }

// CompletionEntry is an entry of the completion log. It records that an attempt of a task is no
// longer on a machine. As an attempt never returns to a machine, an entry can be applied to any
// version of a record and any number of times.
type CompletionEntry struct {
	//lint:ignore U1000 read by the encoder: an entry is encoded as an array, to be short
	_msgpack      struct{} `msgpack:",as_array"`
	Job           string
	Task          int
	Attempt       uint64
	Machine       string
	Done          bool
	job.Occupancy // stored from FormatPreemption on
}

// completionEntryV1 is an entry in the formats before FormatPreemption.
type completionEntryV1 struct {
	//lint:ignore U1000 read by the encoder
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
	Task     int
	Attempt  uint64
	Machine  string
	Done     bool
}

// EncodeCompletionPage encodes entries as the value of a page in the given format.
func EncodeCompletionPage(entries []CompletionEntry, format job.Format) ([]byte, error) {
	if format >= job.FormatPreemption {
		return job.Encode(entries)
	}
	v1 := make([]completionEntryV1, len(entries))
	for i, entry := range entries {
		v1[i] = completionEntryV1{
			Job:     entry.Job,
			Task:    entry.Task,
			Attempt: entry.Attempt,
			Machine: entry.Machine,
			Done:    entry.Done,
		}
	}
	return job.Encode(v1)
}

// DecodeCompletionPage decodes a page of any format.
func DecodeCompletionPage(value []byte) ([]CompletionEntry, error) {
	entries, err := decodeCompletionEntries(value)
	if err != nil {
		return nil, err
	}
	for i := range entries {
		if entry := &entries[i]; !wire.ValidTask(entry.Task) {
			return nil, fmt.Errorf("%w: completion of task %d of %s", job.ErrTaskOutOfRange, entry.Task, entry.Job)
		}
	}
	return entries, nil
}

// decodeCompletionEntries decodes the entries of a page of any format.
func decodeCompletionEntries(value []byte) ([]CompletionEntry, error) {
	var entries []CompletionEntry
	err := job.Decode(value, &entries)
	if err == nil {
		return entries, nil
	}
	var v1 []completionEntryV1
	if job.Decode(value, &v1) != nil {
		return nil, err // the error for the current format
	}
	entries = make([]CompletionEntry, len(v1))
	for i, entry := range v1 {
		entries[i] = CompletionEntry{
			Job:     entry.Job,
			Task:    entry.Task,
			Attempt: entry.Attempt,
			Machine: entry.Machine,
			Done:    entry.Done,
		}
	}
	return entries, nil
}
