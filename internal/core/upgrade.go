package core

import (
	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

// The format of the records is raised once, while nodes of both versions serve.
// Each node announces for good which format it reads; a node without an
// announcement reads the first. When all in the settings read a later one, the
// leader raises the format in a transaction guarded by its claim. It never goes
// back. Until then everything is written as the older version reads it, and
// nothing is accepted that the older version would lose.

const (
	formatKey      = records.FormatKey
	announcePrefix = job.Root + "nodes/"
	// formatPause is between tries to announce or raise.
	formatPause = config.Second
)

// formatMark is the value of the format's key and of the announcements.
type formatMark struct {
	Format job.Format `msgpack:"format"`
}

type upgrade struct {
	announced map[string]job.Format // by node
	formatAt  Micros                // when to try again
	foreign   bool                  // the format is one that this node can't read
}

func (c *Core) formatIn(ev *wire.Change) {
	var m formatMark
	if ev.Put == "" || ev.Version <= c.form.Version || job.Decode(ev.Value, &m) != nil {
		return
	}
	c.form.Format, c.form.Version = m.Format, ev.Version
	c.leader.Wake()
	if m.Format > job.Newest && !c.foreign {
		c.foreign = true
		c.box.Log("not serving: the records have a later format", "format", int(m.Format), "newest_known", int(job.Newest))
		c.box.Emit(msg.Retire{})
		c.claim.Resign("records of a later version")
	}
}

func (c *Core) announcementIn(node string, ev *wire.Change) {
	var m formatMark
	if ev.Put != "" && job.Decode(ev.Value, &m) == nil {
		c.announced[node] = max(c.announced[node], m.Format)
	}
}

// putFormat writes a format under a key of the upgrade.
func (c *Core) putFormat(key string, f job.Format, guards []wire.Guard, then func(msg.CommitDone)) {
	value, err := job.Encode(formatMark{f})
	if err != nil {
		panic(err) // a struct of a number always encodes
	}
	c.formatAt = c.box.Now() + formatPause
	c.box.Commit(wire.Commit{Guards: guards, Changes: []wire.Change{{Put: key, Value: value}}}, msg.ForOther, func(d msg.CommitDone) {
		if d.Outcome == msg.OK {
			c.apply(&wire.Change{Put: key, Value: value, Version: d.Revision})
			then(d)
		}
	})
}

// wanted is the format that this node would have: the newest that it reads, unless that is switched off.
func (c *Core) wanted() job.Format {
	if !c.cfg.Settings.SharedParts {
		return job.SharedParts - 1
	}
	return job.Newest
}

// announceFormat tells for good that this node reads the format that it would have.
func (c *Core) announceFormat() {
	if !c.serving() || c.cfg.Settings.HoldFormat || c.announced[c.cfg.Node] >= c.wanted() || c.box.Now() < c.formatAt {
		return
	}
	c.putFormat(announcePrefix+c.cfg.Node, c.wanted(), nil, func(msg.CommitDone) {
		c.box.Log("announced", "reads_format", int(c.wanted()))
	})
}

// raiseFormat raises the format if every node reads a later one.
func (c *Core) raiseFormat() {
	if c.form.Format >= job.Newest || c.claim.Raising() || c.box.Now() < c.formatAt {
		return
	}
	least := c.announced[c.cfg.Node]
	for _, p := range c.cfg.Peers {
		least = min(least, c.announced[p.Node])
	}
	if least = min(least, job.Newest); least <= c.form.Format {
		return
	}
	guards := []wire.Guard{c.claim.Guard(), {Key: formatKey, Version: c.form.Version}}
	c.putFormat(formatKey, least, guards, func(msg.CommitDone) {
		c.box.Log("format raised: no way back to older versions", "format", int(least))
	})
}

// serving tells whether this node may answer users and workers.
func (c *Core) serving() bool { return c.refusal() == "" }
