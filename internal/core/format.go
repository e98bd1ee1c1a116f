package core

import (
	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

// The format of stored values is raised once, while nodes of both versions serve. Each node announces
// permanently which format it reads; a node without an announcement reads the first one. When all
// configured nodes read a newer one, the leader raises the format in a transaction that is
// conditional on its leadership. The format never goes back. Until it is raised, everything is
// written as the older version reads it, and nothing is admitted that the older version would lose.

const (
	formatKey      = records.FormatKey
	announcePrefix = job.KeyRoot + "nodes/"
	// formatRetryInterval is the time between attempts to announce or raise the format.
	formatRetryInterval = config.Second
)

// formatMark is the value of the format key and of the announcements.
type formatMark struct {
	Format job.Format `msgpack:"format"`
}

// formatState is what a core knows about the upgrade of the format.
type formatState struct {
	announcedFormats    map[string]job.Format // by node
	nextFormatAttemptAt Micros
	formatUnknown       bool // the format in force is newer than this node reads
}

// applyFormat applies a change of the format in force.
func (c *Core) applyFormat(change *wire.Change) {
	var mark formatMark
	if change.Put == "" || change.Version <= c.encoding.Version || job.Decode(change.Value, &mark) != nil {
		return
	}
	c.encoding.Format = mark.Format
	c.encoding.Version = change.Version
	c.leader.RequestCycle()
	if mark.Format > job.NewestFormat && !c.formatUnknown {
		c.formatUnknown = true
		c.outbox.Log("not serving: stored format is newer than this version", "format", int(mark.Format),
			"newest_known", int(job.NewestFormat))
		c.outbox.Emit(msg.StopServing{})
		c.elector.Resign("stored format is newer than this version")
	}
}

// applyAnnouncement applies a change of a node's announcement.
func (c *Core) applyAnnouncement(node string, change *wire.Change) {
	var mark formatMark
	if change.Put != "" && job.Decode(change.Value, &mark) == nil {
		c.announcedFormats[node] = max(c.announcedFormats[node], mark.Format)
	}
}

// writeFormat writes a format under a key, and calls then if it was committed.
func (c *Core) writeFormat(key string, format job.Format, conditions []wire.Condition, then func()) {
	value, err := job.Encode(formatMark{format})
	if err != nil {
		panic(err) // a struct of a number always encodes
	}
	c.nextFormatAttemptAt = c.outbox.Now() + formatRetryInterval
	transaction := wire.Transaction{Conditions: conditions, Changes: []wire.Change{{Put: key, Value: value}}}
	c.outbox.Commit(transaction, msg.PurposeOther, func(done msg.CommitDone) {
		if done.Outcome == msg.OK {
			c.apply(&wire.Change{Put: key, Value: value, Version: done.Revision})
			then()
		}
	})
}

// targetFormat returns the format that this node is to announce: the newest one, unless placement
// pages are switched off.
func (c *Core) targetFormat() job.Format {
	if !c.cfg.Settings.PlacementPages {
		return job.FormatPlacementPages - 1
	}
	return job.NewestFormat
}

// announceFormat announces permanently that this node reads its target format.
func (c *Core) announceFormat() {
	announced := c.announcedFormats[c.cfg.Node] >= c.targetFormat()
	if announced || c.cfg.Settings.HoldFormat || !c.canServe() || c.outbox.Now() < c.nextFormatAttemptAt {
		return
	}
	c.writeFormat(announcePrefix+c.cfg.Node, c.targetFormat(), nil, func() {
		c.outbox.Log("format announced", "format", int(c.targetFormat()))
	})
}

// raiseFormat raises the format if every node has announced that it reads a newer one.
func (c *Core) raiseFormat() {
	if !c.encoding.UpgradePending() || c.elector.TokenChangePending() || c.outbox.Now() < c.nextFormatAttemptAt {
		return
	}
	format := c.commonFormat()
	if format <= c.encoding.Format {
		return
	}
	conditions := []wire.Condition{c.elector.Condition(), c.encoding.Condition()}
	c.writeFormat(formatKey, format, conditions, func() {
		c.outbox.Log("format raised: older versions can no longer serve", "format", int(format))
	})
}

// commonFormat returns the newest format that all nodes read according to their announcements.
func (c *Core) commonFormat() job.Format {
	format := min(c.announcedFormats[c.cfg.Node], job.NewestFormat)
	for _, peer := range c.cfg.Peers {
		format = min(format, c.announcedFormats[peer.Node])
	}
	return format
}
