package core

import (
	"strings"

	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// applySnapshot replaces all that this node has read from the state service with a listing. The watch
// reports again any key that was changed after the listing began.
func (c *Core) applySnapshot(snapshot msg.Snapshot) {
	listed := make(map[string]bool, len(snapshot.Items))
	for i := range snapshot.Items {
		item := &snapshot.Items[i]
		listed[item.Key] = true
		change := &wire.Change{Put: item.Key, Value: item.Value, Version: item.Version}
		if item.Key == leaderKey {
			c.elector.Apply(change, false)
			continue
		}
		c.apply(change)
	}
	if !listed[leaderKey] {
		c.elector.ApplyListingWithoutHolder(snapshot.Revision)
	}
	c.replica.ApplyListing(snapshot.Revision, listed)
	c.replica.NoteRevision(snapshot.Revision)
	c.loaded = true
	c.leader.OnRecordsRead(snapshot.Revision)
}

// applyChanges applies the changes reported by the watch.
func (c *Core) applyChanges(changed msg.Changed) {
	for i := range changed.Events {
		c.apply(&changed.Events[i])
		c.replica.NoteRevision(changed.Events[i].Version)
	}
	c.replica.NoteCurrent(changed.CurrentAt)
	c.frontend.WatchAdvanced()
}

// applyPeerUpdate applies a record that another node has just committed, before the watch reports it. Other keys are
// ignored, and so is any change before the first listing.
func (c *Core) applyPeerUpdate(change *wire.Change) {
	id, shard, ok := job.ParseKey(change.Put)
	isRecord := ok && shard == 0 && id != ""
	if isRecord && c.loaded {
		c.apply(change)
	}
}

// apply applies a committed put or delete of any key. A change of the leader key must come from the
// watch or from a transaction of this node.
func (c *Core) apply(change *wire.Change) {
	key := change.Put
	if key == "" {
		key = change.Delete
	}
	switch key {
	case leaderKey:
		c.elector.Apply(change, true)
		return
	case catalogKey:
		c.applyCatalog(change)
		return
	case formatKey:
		c.applyFormat(change)
		return
	}
	if node, ok := strings.CutPrefix(key, announcePrefix); ok {
		c.applyAnnouncement(node, change)
		return
	}
	c.leader.Apply(key, change)
}
