package relay

import (
	"maps"
	"slices"

	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// KeyPrefix is the prefix of the keys under which nodes write heartbeats for the leader; a node's name
// completes its key. Earlier versions share the state service, so the prefix is the one they use.
const KeyPrefix = job.KeyRoot + "mail/"

// relayWriteShare is the fraction of the write rate that one node's relayed heartbeats may use.
const relayWriteShare = 0.1

// RelayedHeartbeat is a heartbeat that is relayed to the leader through the state service.
type RelayedHeartbeat struct {
	//lint:ignore U1000 read by the encoder: a heartbeat is encoded as an array, to be short
	_msgpack     struct{} `msgpack:",as_array"`
	Machine      string
	Incarnation  uint64
	Sequence     uint64
	FencingToken uint64
	NoticeS      *float64
	Tasks        []RelayedTask
	receivedAt   Micros
}

// RelayedTask is the status of a task in a RelayedHeartbeat.
type RelayedTask struct {
	//lint:ignore U1000 read by the encoder
	_msgpack struct{} `msgpack:",as_array"`
	Task     string
	Attempt  uint64
	State    string
	Cause    string
	Saved    bool
}

// differsFrom reports whether the incarnation or the tasks differ from those in an earlier heartbeat.
func (h RelayedHeartbeat) differsFrom(earlier RelayedHeartbeat) bool {
	return h.Incarnation != earlier.Incarnation || !slices.Equal(h.Tasks, earlier.Tasks)
}

// enqueue queues a heartbeat for the leader, unless an unchanged one was relayed recently or too many
// are queued.
func (r *Relay) enqueue(hb *wire.Heartbeat) {
	relayed := RelayedHeartbeat{
		Machine:      hb.Machine,
		Incarnation:  hb.Incarnation,
		Sequence:     hb.Sequence,
		FencingToken: hb.FencingToken,
		NoticeS:      hb.NoticeS,
		receivedAt:   r.outbox.Now(),
	}
	for _, t := range hb.Tasks {
		relayed.Tasks = append(relayed.Tasks, RelayedTask{
			Task:    t.Task,
			Attempt: t.Attempt,
			State:   t.State,
			Cause:   t.Cause,
			Saved:   t.Saved,
		})
	}
	last := r.written[hb.Machine]
	// An unchanged heartbeat is relayed again after a while, to show that the worker is alive.
	recent := r.outbox.Now()-last.receivedAt < r.cfg.WorkerTimeout()/2
	if recent && !relayed.differsFrom(last) || len(r.queued) > maxTrackedWorkers {
		return
	}
	r.queued[hb.Machine] = relayed
}

// writeQueued writes the queued heartbeats to the state service, as many as fit into one value.
func (r *Relay) writeQueued() {
	if len(r.queued) == 0 || r.writePending || r.outbox.Now() < r.nextWriteAt || r.elector.Holder().Version == 0 {
		return
	}
	heartbeats := r.queuedChangedFirst()
	value, err := job.Encode(heartbeats)
	for err == nil && !r.encoding.Fits(value) {
		if len(heartbeats) == 1 {
			delete(r.queued, heartbeats[0].Machine) // it never fits into a value, so it cannot be relayed
			return
		}
		heartbeats = heartbeats[:len(heartbeats)*3/4]
		value, err = job.Encode(heartbeats)
	}
	if err != nil {
		r.outbox.Log("relayed heartbeats not encoded", "error", err.Error())
		return
	}
	r.writePending = true
	r.nextWriteAt = r.outbox.Now() + r.encoding.IntervalForShare(relayWriteShare)
	transaction := wire.Transaction{
		Conditions: []wire.Condition{r.elector.HolderCondition()},
		Changes:    []wire.Change{{Put: KeyPrefix + r.cfg.Node, Value: value}},
	}
	r.outbox.Commit(transaction, msg.PurposeRelay, func(done msg.CommitDone) { r.writeDone(heartbeats, done) })
}

// queuedChangedFirst returns the queued heartbeats, changed ones first, and otherwise in the order of
// machine names.
func (r *Relay) queuedChangedFirst() []RelayedHeartbeat {
	var changed, unchanged []RelayedHeartbeat
	for _, machine := range slices.Sorted(maps.Keys(r.queued)) {
		h := r.queued[machine]
		if h.differsFrom(r.written[machine]) {
			changed = append(changed, h)
		} else {
			unchanged = append(unchanged, h)
		}
	}
	return append(changed, unchanged...)
}

func (r *Relay) writeDone(heartbeats []RelayedHeartbeat, done msg.CommitDone) {
	r.writePending = false
	if done.Outcome != msg.OK {
		return
	}
	for _, h := range heartbeats {
		r.written[h.Machine] = h
		if r.queued[h.Machine].Sequence == h.Sequence {
			delete(r.queued, h.Machine)
		}
	}
}
