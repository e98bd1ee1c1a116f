package leader

import (
	"coralhub/internal/config"
	"coralhub/internal/core/zone"
)

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

func (l *Leader) stateOf(m *zone.Machine) string {
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
	case l.outbox.Now()-m.LastContactAt > l.heartbeatTimeout():
		return quiet
	}
	return usable
}

// states counts the machines.
func (l *Leader) states() map[string]int {
	out := map[string]int{}
	for _, m := range l.reconciler.Registry().All() {
		out[l.stateOf(m)]++
	}
	return out
}

// count writes the line when it is due.
func (l *Leader) count() {
	if l.outbox.Now()-l.counters.at < countEvery {
		return
	}
	states := l.states()
	closing := 0
	for _, j := range l.unfinished {
		closing += len(j.completions)
	}
	n := &l.counters
	l.outbox.Debug("leader", "passes", n.cycles, "placed", n.placed, "pending", n.pending, "without", n.without, "held", n.held, "moved", n.moved,
		"writing", l.inFlightChanges, "waiting", len(l.pendingCommits)+len(l.deferredCommits), "closing", closing, "log", len(l.completionLog.unwritten),
		usable, states[usable], quiet, states[quiet], mailed, states[mailed], sick, states[sick], deaf, states[deaf], mute, states[mute], booting, states[booting], leaving, states[leaving])
	l.counters = counters{at: l.outbox.Now()}
}
