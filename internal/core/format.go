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
	announcePrefix = job.KeyRoot + "nodes/"
	// formatRetryInterval is between tries to announce or raise.
	formatRetryInterval = config.Second
)

// formatMark is the value of the format's key and of the announcements.
type formatMark struct {
	Format job.Format `msgpack:"format"`
}

type formatState struct {
	announcedFormats    map[string]job.Format // by node
	nextFormatAttemptAt Micros                // when to try again
	formatUnknown       bool                  // the format is one that this node can't read
}

func (c *Core) applyFormat(ev *wire.Change) {
	var m formatMark
	if ev.Put == "" || ev.Version <= c.encoding.Version || job.Decode(ev.Value, &m) != nil {
		return
	}
	c.encoding.Format, c.encoding.Version = m.Format, ev.Version
	c.leader.RequestCycle()
	if m.Format > job.NewestFormat && !c.formatUnknown {
		c.formatUnknown = true
		c.outbox.Log("not serving: stored format is newer than this version", "format", int(m.Format), "newest_known", int(job.NewestFormat))
		c.outbox.Emit(msg.StopServing{})
		c.elector.Resign("stored format is newer than this version")
	}
}

func (c *Core) applyAnnouncement(node string, ev *wire.Change) {
	var m formatMark
	if ev.Put != "" && job.Decode(ev.Value, &m) == nil {
		c.announcedFormats[node] = max(c.announcedFormats[node], m.Format)
	}
}

// writeFormat writes a format under a key of the upgrade.
func (c *Core) writeFormat(key string, f job.Format, guards []wire.Condition, then func(msg.CommitDone)) {
	value, err := job.Encode(formatMark{f})
	if err != nil {
		panic(err) // a struct of a number always encodes
	}
	c.nextFormatAttemptAt = c.outbox.Now() + formatRetryInterval
	c.outbox.Commit(wire.Transaction{Conditions: guards, Changes: []wire.Change{{Put: key, Value: value}}}, msg.PurposeOther, func(d msg.CommitDone) {
		if d.Outcome == msg.OK {
			c.apply(&wire.Change{Put: key, Value: value, Version: d.Revision})
			then(d)
		}
	})
}

// targetFormat is the format that this node would have: the newest that it reads, unless that is switched off.
func (c *Core) targetFormat() job.Format {
	if !c.cfg.Settings.PlacementPages {
		return job.FormatPlacementPages - 1
	}
	return job.NewestFormat
}

// announceFormat tells for good that this node reads the format that it would have.
func (c *Core) announceFormat() {
	if !c.canServe() || c.cfg.Settings.HoldFormat || c.announcedFormats[c.cfg.Node] >= c.targetFormat() || c.outbox.Now() < c.nextFormatAttemptAt {
		return
	}
	c.writeFormat(announcePrefix+c.cfg.Node, c.targetFormat(), nil, func(msg.CommitDone) {
		c.outbox.Log("format announced", "format", int(c.targetFormat()))
	})
}

// raiseFormat raises the format if every node reads a later one.
func (c *Core) raiseFormat() {
	if c.encoding.Format >= job.NewestFormat || c.elector.TokenChangePending() || c.outbox.Now() < c.nextFormatAttemptAt {
		return
	}
	least := c.announcedFormats[c.cfg.Node]
	for _, p := range c.cfg.Peers {
		least = min(least, c.announcedFormats[p.Node])
	}
	if least = min(least, job.NewestFormat); least <= c.encoding.Format {
		return
	}
	guards := []wire.Condition{c.elector.Condition(), {Key: formatKey, Version: c.encoding.Version}}
	c.writeFormat(formatKey, least, guards, func(msg.CommitDone) {
		c.outbox.Log("format raised: older versions can no longer serve", "format", int(least))
	})
}

// canServe tells whether this node may answer users and workers.
func (c *Core) canServe() bool { return c.notServingReason() == "" }
