package leader

import (
	"coralhub/internal/config"
	"coralhub/internal/core/completionlog"
	"coralhub/internal/core/zone"
)

// diagnostics counts what the leader does and what it lacks, for the debug log and the metrics.
type diagnostics struct {
	*environment
	commits       *jobCommitter
	completionLog *completionlog.Log

	counters counters
}

// statisticsInterval is the time between two lines of the debug log.
const statisticsInterval = 5 * config.Second

// counters tell, in one line of the debug log, what a leader is short of: its log then explains a
// day that goes badly although no invariant is violated.
type counters struct {
	at       Micros
	cycles   int
	placed   int // tasks
	pending  int // jobs in the queue of the last cycle
	unplaced int // of them, jobs that could not be placed as a whole
	deferred int // of them, jobs that wait for the key-value store
	moved    int // replicas that were moved by defragmentation
}

// startCycle begins the count of a cycle.
func (n *counters) startCycle(pending int) {
	n.cycles++
	n.pending = pending
	n.unplaced = 0
	n.deferred = 0
}

// States of machines: the labels of the metric coralhub_machines. Labels stay as they were first
// released.
const (
	stateUsable              = "usable"
	stateLate                = "quiet"
	stateRelayed             = "mailed"
	stateQuarantined         = "sick"
	stateInboundUnreachable  = "deaf"
	stateOutboundUnreachable = "mute"
	stateBooting             = "booting"
	stateLeaving             = "leaving"
)

// stateKeys are the states in the order of the log line, with their keys there.
var stateKeys = []struct{ state, key string }{
	{stateUsable, "usable"},
	{stateLate, "late"},
	{stateRelayed, "relayed"},
	{stateQuarantined, "quarantined"},
	{stateInboundUnreachable, "inbound_unreachable"},
	{stateOutboundUnreachable, "outbound_unreachable"},
	{stateBooting, "booting"},
	{stateLeaving, "leaving"},
}

// stateOf returns the state of a machine. The first one that applies counts.
func (dx *diagnostics) stateOf(m *zone.Machine) string {
	switch {
	case m.Releasing || m.Failed || m.ReclaimedAt != 0:
		return stateLeaving
	case m.Incarnation == 0:
		return stateBooting
	case m.Quarantined() && !m.OnProbation:
		return stateQuarantined
	case m.Reachability.Unreachable():
		return stateInboundUnreachable
	case m.SilentSince != 0:
		return stateOutboundUnreachable
	case m.Relayed:
		return stateRelayed
	case dx.outbox.Now()-m.LastContactAt > dx.heartbeatTimeout():
		return stateLate
	}
	return stateUsable
}

// states counts the machines by state.
func (dx *diagnostics) states() map[string]int {
	out := map[string]int{}
	for _, m := range dx.reconciler.Registry().All() {
		out[dx.stateOf(m)]++
	}
	return out
}

// logStatistics writes the line of the debug log when it is due.
func (dx *diagnostics) logStatistics() {
	if dx.outbox.Now()-dx.counters.at < statisticsInterval {
		return
	}
	completions := 0
	for _, j := range dx.unfinished {
		completions += len(j.completions)
	}
	n := &dx.counters
	fields := []any{"cycles", n.cycles, "placed", n.placed, "pending", n.pending, "unplaced", n.unplaced, "deferred", n.deferred, "moved", n.moved,
		"changes_in_flight", dx.commits.inFlightChanges, "commits_waiting", len(dx.commits.pendingCommits) + len(dx.commits.deferredCommits),
		"completions_pending", completions, "completion_log_pending", dx.completionLog.Pending()}
	states := dx.states()
	for _, k := range stateKeys {
		fields = append(fields, k.key, states[k.state])
	}
	dx.outbox.Debug("leader statistics", fields...)
	dx.counters = counters{at: dx.outbox.Now()}
}
