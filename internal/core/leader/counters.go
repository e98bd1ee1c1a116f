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
	passes  int
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
	case m.Releasing || m.Failed || m.NoticeAt != 0:
		return leaving
	case m.Session == 0:
		return booting
	case m.Sick() && !m.Retried:
		return sick
	case m.Hearing.Deaf():
		return deaf
	case m.Mute != 0:
		return mute
	case m.Mailed:
		return mailed
	case l.box.Now()-m.Spoke > l.suspectAfter():
		return quiet
	}
	return usable
}

// states counts the machines.
func (l *Leader) states() map[string]int {
	out := map[string]int{}
	for _, m := range l.owner.Roster().All() {
		out[l.stateOf(m)]++
	}
	return out
}

// count writes the line when it is due.
func (l *Leader) count() {
	if l.box.Now()-l.counters.at < countEvery {
		return
	}
	states := l.states()
	closing := 0
	for _, j := range l.active {
		closing += len(j.closes)
	}
	n := &l.counters
	l.box.Debug("leader", "passes", n.passes, "placed", n.placed, "pending", n.pending, "without", n.without, "held", n.held, "moved", n.moved,
		"writing", l.writing, "waiting", len(l.dirty)+len(l.delayed), "closing", closing, "log", len(l.ended.fresh),
		usable, states[usable], quiet, states[quiet], mailed, states[mailed], sick, states[sick], deaf, states[deaf], mute, states[mute], booting, states[booting], leaving, states[leaving])
	l.counters = counters{at: l.box.Now()}
}
