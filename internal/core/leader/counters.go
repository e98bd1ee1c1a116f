package leader

import (
	"coralhub/internal/config"
	"coralhub/internal/core/zone"
)

// diagnostics TODO
type diagnostics struct {
	*environment
	commits       *jobCommitter
	completionLog *completionLog

	counters counters
}

// countEvery is how often the debug log tells what the leader is busy with.
const countEvery = 5 * config.Second

// counters tell, in one line of the debug log, what a leader is short of: a day
// that goes badly without a broken rule is then explained by its log.
type counters struct {
	at      Micros
	cycles  int
	placed  int // tasks
	pending int // jobs that wanted places in the last pass
	without int // of them, jobs that found none for some task
	held    int // of them, jobs that had to wait for the state service
	moved   int // replicas, so that machines become whole
}

// The states that machines are counted by.
const (
	usable  = "usable"
	quiet   = "quiet"
	mailed  = "mailed"
	sick    = "sick"
	deaf    = "deaf"
	mute    = "mute"
	booting = "booting"
	leaving = "leaving"
)

func (dx *diagnostics) stateOf(m *zone.Machine) string {
	switch {
	case m.Releasing || m.Failed || m.ReclaimedAt != 0:
		return leaving
	case m.Incarnation == 0:
		return booting
	case m.Quarantined() && !m.OnProbation:
		return sick
	case m.Reachability.Unreachable():
		return deaf
	case m.SilentSince != 0:
		return mute
	case m.Relayed:
		return mailed
	case dx.outbox.Now()-m.LastContactAt > dx.heartbeatTimeout():
		return quiet
	}
	return usable
}

// states counts the machines.
func (dx *diagnostics) states() map[string]int {
	out := map[string]int{}
	for _, m := range dx.reconciler.Registry().All() {
		out[dx.stateOf(m)]++
	}
	return out
}

// count writes the line when it is due.
func (dx *diagnostics) count() {
	if dx.outbox.Now()-dx.counters.at < countEvery {
		return
	}
	states := dx.states()
	closing := 0
	for _, j := range dx.unfinished {
		closing += len(j.completions)
	}
	n := &dx.counters
	dx.outbox.Debug("leader", "passes", n.cycles, "placed", n.placed, "pending", n.pending, "without", n.without, "held", n.held, "moved", n.moved,
		"writing", dx.commits.inFlightChanges, "waiting", len(dx.commits.pendingCommits)+len(dx.commits.deferredCommits), "closing", closing, "log", len(dx.completionLog.unwritten),
		usable, states[usable], quiet, states[quiet], mailed, states[mailed], sick, states[sick], deaf, states[deaf], mute, states[mute], booting, states[booting], leaving, states[leaving])
	dx.counters = counters{at: dx.outbox.Now()}
}
