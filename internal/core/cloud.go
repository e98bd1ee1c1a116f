package core

import (
	"coralhub/internal/config"
)

// tickLeader does what the leader does by time alone.
func (c *Core) tickLeader() {
	s := &c.cfg.Settings
	c.writeHints()
	c.tidyEnded()
	c.count()
	c.keepLearnt()
	c.owner.Announce()
	c.owner.Probe()
	c.claim.RaiseIfWanted()
	c.keeper.Tick()
	if c.now-c.lastPass >= config.FromSeconds(s.ScanPeriodS) || c.passAt != 0 && c.now >= c.passAt {
		c.passDue = true
	}
}
