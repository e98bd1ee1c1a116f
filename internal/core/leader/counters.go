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
}

// The states that machines are counted by.
const (
	usable  = "usable"
	quiet   = "quiet"
	mailed  = "mailed"
	sick    = "sick"
	booting = "booting"
	leaving = "leaving"
)

func (c *Leader) stateOf(m *zone.Machine) string {
	switch {
	case m.Releasing || m.Failed || m.NoticeAt != 0:
		return leaving
	case m.Session == 0:
		return booting
	case m.Sick():
		return sick
	case m.Mailed:
		return mailed
	case c.box.Now()-m.Spoke > c.suspectAfter():
		return quiet
	}
	return usable
}

// count writes the line when it is due.
func (c *Leader) count() {
	if c.box.Now()-c.counters.at < countEvery {
		return
	}
	states := map[string]int{}
	for _, m := range c.owner.Roster().All() {
		states[c.stateOf(m)]++
	}
	closing := 0
	for _, j := range c.active {
		closing += len(j.closes)
	}
	n := &c.counters
	c.box.Debug("leader", "passes", n.passes, "placed", n.placed, "pending", n.pending, "without", n.without, "held", n.held,
		"writing", c.writing, "waiting", len(c.dirty)+len(c.delayed), "closing", closing, "log", len(c.ended.fresh),
		usable, states[usable], quiet, states[quiet], mailed, states[mailed], sick, states[sick], booting, states[booting], leaving, states[leaving])
	c.counters = counters{at: c.box.Now()}
}
