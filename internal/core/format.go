package core

import (
	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

// An upgrade raises the format of stored values once, while nodes of both versions serve. Each node writes
// a permanent announcement of the newest format that it reads; a node without an announcement is assumed to
// read only the first one. Once all configured nodes have announced a newer format, the leader raises the
// format in a transaction that is conditional on its leadership. The format is never lowered. Until it is
// raised, all values are written so that the older version can read them, and a job of which the older
// version would lose a part is not admitted.

const (
	formatKey      = records.FormatKey
	announcePrefix = job.KeyRoot + "nodes/"
	// formatRetryInterval is the time between attempts to announce or raise the format.
	formatRetryInterval = config.Second
)

// storedFormat is the value of the format key and of the announcements.
type storedFormat struct {
	Format job.Format `msgpack:"format"`
}

// formatState is a core's state of the upgrade of the format.
type formatState struct {
	announcedFormats    map[string]job.Format // newest format that each node reads
	nextFormatAttemptAt Micros
	formatUnsupported   bool // whether the format in force is newer than this node can read
}

// applyFormat applies a change of the format in force.
func (c *Core) applyFormat(change *wire.Change) {
	var stored storedFormat
	if change.Put == "" || change.Version <= c.encoding.Version || job.Decode(change.Value, &stored) != nil {
		return
	}
	c.encoding.Format = stored.Format
	c.encoding.Version = change.Version
	c.leader.RequestCycle()
	if stored.Format > job.NewestFormat && !c.formatUnsupported {
		c.formatUnsupported = true
		c.outbox.Log("not serving: stored format is newer than this version", "format", int(stored.Format),
			"newest_known", int(job.NewestFormat))
		c.outbox.Emit(msg.StopServing{})
		c.elector.Resign("stored format is newer than this version")
	}
}

// applyAnnouncement applies a change of a node's announcement. A lower format than an earlier one is ignored.
func (c *Core) applyAnnouncement(node string, change *wire.Change) {
	var stored storedFormat
	if change.Put != "" && job.Decode(change.Value, &stored) == nil {
		c.announcedFormats[node] = max(c.announcedFormats[node], stored.Format)
	}
}

// writeFormat writes a format under a key, and calls onCommitted if the transaction was committed.
func (c *Core) writeFormat(key string, format job.Format, conditions []wire.Condition, onCommitted func()) {
	value, err := job.Encode(storedFormat{format})
	if err != nil {
		panic(err) // a struct with one integer can always be encoded
	}
	c.nextFormatAttemptAt = c.outbox.Now() + formatRetryInterval
	transaction := wire.Transaction{Conditions: conditions, Changes: []wire.Change{{Put: key, Value: value}}}
	c.outbox.Commit(transaction, msg.PurposeOther, func(done msg.CommitDone) {
		if done.Outcome == msg.OK {
			c.apply(&wire.Change{Put: key, Value: value, Version: done.Revision})
			onCommitted()
		}
	})
}

// targetFormat returns the format that this node announces: the newest one or, if placement pages are
// disabled, the last one without them.
func (c *Core) targetFormat() job.Format {
	if !c.cfg.Settings.PlacementPages {
		return job.FormatPlacementPages - 1
	}
	return job.NewestFormat
}

// announceFormat writes the permanent announcement that this node reads its target format, if it is due.
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
