package leader

import (
	"coralhub/internal/config"
	"coralhub/internal/core/completionlog"
	"coralhub/internal/core/zone"
)

// diagnostics counts the leader's decisions, its backlog and the states of machines, for the debug log and the metrics.
type diagnostics struct {
	*environment
	commits       *jobCommitter
	completionLog *completionlog.Log

	counters counters
}

// statisticsInterval is the time between two "leader statistics" lines in the debug log.
const statisticsInterval = 5 * config.Second

// counters are the values of one "leader statistics" line in the debug log. They show what limits the leader's work,
// so that the log explains poor performance even when no invariant is violated.
type counters struct {
	startedAt Micros // time of the last line
	cycles    int
	placed    int // tasks
	pending   int // jobs in the queue of the last cycle
	unplaced  int // pending jobs that could not be placed completely
	deferred  int // pending jobs that wait for the state service
	moved     int // replicas moved by defragmentation
}

// startCycle counts a scheduling cycle and resets the counts that apply to the last cycle only.
func (n *counters) startCycle(pending int) {
	n.cycles++
	n.pending = pending
	n.unplaced = 0
	n.deferred = 0
}

// States of machines: label values of the metric coralhub_machines. Values that have been released must not change.
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

// stateKeys lists the states with their log keys, in the order in which they are logged.
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

// machineState returns the first state that applies to a machine.
func (dx *diagnostics) machineState(m *zone.Machine) string {
	switch {
	case m.Releasing || m.Failed || m.ReclaimedAt != 0:
		return stateLeaving
	case m.Incarnation == 0:
		return stateBooting
	case m.Quarantined() && !m.OnProbation:
		return stateQuarantined
	case m.Reachability.Unreachable():
		return stateInboundUnreachable
	case m.HeartbeatsLostSince != 0:
		return stateOutboundUnreachable
	case m.Relayed:
		return stateRelayed
	case dx.outbox.Now()-m.LastContactAt > dx.heartbeatTimeout():
		return stateLate
	}
	return stateUsable
}

func (dx *diagnostics) countMachinesByState() map[string]int {
	out := map[string]int{}
	for _, m := range dx.reconciler.Registry().All() {
		out[dx.machineState(m)]++
	}
	return out
}

// logStatistics writes the counters to the debug log, at most once per statisticsInterval, and resets them.
func (dx *diagnostics) logStatistics() {
	if dx.outbox.Now()-dx.counters.startedAt < statisticsInterval {
		return
	}
	completions := 0
	for _, j := range dx.unfinished {
		completions += len(j.completions)
	}
	n := &dx.counters
	fields := []any{
		"cycles", n.cycles, "placed", n.placed, "pending", n.pending, "unplaced", n.unplaced,
		"deferred", n.deferred, "moved", n.moved, "changes_in_flight", dx.commits.inFlightChanges,
		"commits_waiting", len(dx.commits.pendingCommits) + len(dx.commits.deferredCommits),
		"completions_pending", completions, "completion_log_pending", dx.completionLog.Pending(),
	}
	states := dx.countMachinesByState()
	for _, k := range stateKeys {
		fields = append(fields, k.key, states[k.state])
	}
	dx.outbox.Debug("leader statistics", fields...)
	dx.counters = counters{startedAt: dx.outbox.Now()}
}
