package core

import (
	"maps"
	"slices"
	"sort"

	"coralhub/internal/config"
	"coralhub/internal/core/fleet"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/owner"
	"coralhub/internal/core/zone"
	"coralhub/wire"
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
	if !c.listing && c.now-c.lastList > c.listPeriod() {
		c.listing, c.lastList = true, c.now
		c.box.Emit(msg.ListMachines{})
	}
	if !c.claim.InDoubt() {
		for _, r := range c.fleet.Due(c.now) {
			c.box.Emit(msg.Rent{Request: r})
		}
		c.returnMachines()
	}
	if c.now-c.lastPass >= config.FromSeconds(s.ScanPeriodS) || c.passAt != 0 && c.now >= c.passAt {
		c.passDue = true
	}
}

func (c *Core) listPeriod() Micros {
	return max(config.FromSeconds(c.cfg.Cluster.Cloud.ListLagS)/2, 2*config.Second)
}

func (c *Core) listDone(x msg.ListDone) {
	c.listing = false
	if !c.ready || x.Outcome != msg.OK {
		return
	}
	listed := make(map[string]bool, len(x.Machines))
	for i := range x.Machines {
		l := &x.Machines[i]
		listed[l.Name] = true
		if _, gone := c.deleted[l.Name]; gone {
			continue
		}
		had := c.owner.Roster().Get(l.Name) != nil
		m := c.owner.Machine(l.Name)
		if !had {
			m.Rented = c.now - config.FromSeconds(l.AgeS)
		}
		if fails := l.State == wire.MachineFailed; !had || m.Failed != fails || m.Session == 0 && m.Type == "" {
			m.Failed = fails
			c.touch(m)
		}
		m.Describe(l.Addr, l.Type, l.Zone, l.Spot)
	}
	for name, since := range c.deleted {
		if !listed[name] && c.now-since > 5*config.FromSeconds(c.cfg.Cluster.Cloud.ListLagS) {
			delete(c.deleted, name)
		}
	}
}

func (c *Core) rentDone(x msg.RentDone) {
	if !c.ready {
		return
	}
	switch x.Outcome {
	case msg.OK, msg.Conflict:
		r, ok := c.fleet.Done(c.now, x.Name, len(x.Machines), x.Outcome == msg.Conflict)
		if !ok {
			return
		}
		c.box.Log("rented", "type", r.Type, "zone", r.Zone, "spot", r.Spot, "asked", r.Count, "got", len(x.Machines))
		for _, name := range x.Machines {
			m := c.owner.Machine(name)
			m.Describe("", r.Type, r.Zone, r.Spot)
			c.touch(m)
			c.noteMachine(name)
		}
		c.passDue = true
	default:
		c.fleet.Retry(c.now, x.Name)
	}
}

// returnMachines gives back what is idle, dead, silent, faulty or never came
// up. The answer to a deletion is the proof that everything on it is gone. It looks
// only at machines that don't work, or don't speak.
func (c *Core) returnMachines() {
	silence := c.cfg.Silence()
	look := slices.Collect(maps.Keys(c.survey.watched))
	c.owner.Roster().Silent(c.now-silence, func(m *zone.Machine) {
		if !c.survey.watched[m] {
			look = append(look, m)
		}
	})
	slices.SortFunc(look, owner.ByName)
	var crowds map[string]bool
	var names []string
	for _, m := range look {
		name := m.Name
		if c.owner.Roster().Get(name) != m {
			continue
		}
		if m.Releasing {
			if c.now-m.ReleasedAt > 2*config.Second {
				m.ReleasedAt = c.now
				names = append(names, name)
			}
			continue
		}
		limit := silence
		if c.silentFor(m) > silence {
			if crowds == nil {
				crowds = c.crowds()
			}
			if crowds[m.Zone] {
				limit = 6 * silence
			}
		}
		why := ""
		switch {
		case m.Failed:
			why = "failed"
		case m.Session == 0 && len(c.book.OpenOn(name)) == 0:
			if c.now-max(m.Rented, c.since) > c.bootLimit(m) {
				why = "never came up"
			}
		case c.silentFor(m) > limit:
			why = "silent"
		case c.sick(m):
			if m.IdleSince != 0 {
				why = "faulty"
			}
		case m.IdleSince != 0 && c.now-m.IdleSince > c.keepIdle(m):
			why = "idle"
		}
		if why == "" || m.ReleasedAt != 0 && c.now-m.ReleasedAt < 2*config.Second {
			continue
		}
		if m.ReleasedAt == 0 {
			c.box.Log("releasing", "machine", name, "why", why, "placements", len(c.book.OpenOn(name)))
		}
		m.Releasing, m.ReleasedAt = true, c.now
		c.touch(m)
		names = append(names, name)
	}
	for len(names) > 0 {
		n := min(len(names), wire.MaxRelease)
		c.box.Emit(msg.Release{Machines: names[:n:n]})
		names = names[n:]
	}
}

// crowds tells in which zones so many workers are quiet that it is rather the
// network than the machines. Those heard of through a deputy count: they tell of a
// cut.
func (c *Core) crowds() map[string]bool {
	quiet, all := map[string]int{}, map[string]int{}
	for _, m := range c.owner.Roster().All() {
		if m.Session == 0 && m.Heard == 0 && len(c.book.OpenOn(m.Name)) == 0 {
			continue
		}
		all[m.Zone]++
		if c.now-max(m.Spoke, c.since) > c.cfg.Silence()/2 {
			quiet[m.Zone]++
		}
	}
	out := map[string]bool{}
	for z, n := range quiet {
		out[z] = n > 1 && n*3 > all[z]
	}
	return out
}

func (c *Core) silentFor(m *zone.Machine) Micros { return c.now - max(m.Heard, c.since) }

// keepIdle is how long an idle machine is kept. To have it back would cost a
// boot, paid without use, and the images that it has cached.
func (c *Core) keepIdle(m *zone.Machine) Micros {
	if s := c.cfg.Settings.IdleReturnS; s > 0 {
		return config.FromSeconds(s)
	}
	keep := 20.0
	if t := c.catalog.Types[m.Type]; t != nil {
		keep += 1.4 * t.BootS
	}
	return config.FromSeconds(keep)
}

func (c *Core) bootLimit(m *zone.Machine) Micros {
	boot := 60.0
	if t := c.catalog.Types[m.Type]; t != nil {
		boot = t.BootS
	}
	return config.FromSeconds(boot*c.cfg.Settings.BootGiveUpTimes) + 5*config.Second
}

func (c *Core) releaseDone(x msg.ReleaseDone) {
	if !c.ready {
		return
	}
	if x.Outcome != msg.OK {
		// Certainly not deleted: it may be used again. Otherwise the deletion
		// may come late, and nothing must be there by then.
		for _, name := range x.Machines {
			if m := c.owner.Roster().Get(name); m != nil {
				m.Doomed = m.Doomed || x.Outcome == msg.Unknown
				m.Releasing = m.Doomed
				c.touch(m)
			}
		}
		return
	}
	gone := append([]string(nil), x.Machines...)
	sort.Strings(gone)
	for _, name := range gone {
		for _, key := range owner.SortedKeys(c.book.OpenOn(name)) {
			c.close(key, name, false)
		}
		if m := c.owner.Roster().Get(name); m != nil {
			c.touch(m)
		}
		c.owner.Roster().Remove(name)
		c.deleted[name] = c.now
		c.noteMachine(name)
	}
	c.passDue = true
}

// kinds sorts the machines for the fleet's planning, the booting ones by name.
func (c *Core) kinds() (booting []fleet.Kind, count map[fleet.Kind]int) {
	for _, m := range slices.SortedFunc(maps.Keys(c.survey.booting), owner.ByName) {
		booting = append(booting, c.survey.kinds[m])
	}
	return booting, c.survey.count
}
