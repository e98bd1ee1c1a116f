package election

import (
	"coralhub/internal/core/job"
	"coralhub/wire"
)

// ApplyListingWithoutHolder applies a listing of the given revision that does not contain the leader
// key.
func (e *Elector) ApplyListingWithoutHolder(revision uint64) {
	if e.holder.Version > revision {
		return
	}
	e.vacancyObserved = true
	if e.holder.Version != 0 {
		e.Apply(&wire.Change{Delete: e.key, Version: revision}, true)
	}
}

// Apply applies a put or a delete of the leader key. If watched is set, the change directly follows
// the one applied before it; if not, it is from a listing, and changes in between may have been
// missed. A value that cannot be decoded is ignored.
func (e *Elector) Apply(change *wire.Change, watched bool) {
	if change.Version < e.holder.Version || change.Version == e.holder.Version && change.Put != "" {
		return
	}
	if change.Put == "" {
		e.applyDelete(change.Version)
		return
	}
	var record LeaseRecord
	if err := job.Decode(change.Value, &record); err != nil {
		return
	}
	previous := e.holder.Node
	e.setHolder(record, change.Version, watched)
	e.listener.OnHolderChanged(previous, record.Node)
	if record.Node == e.node {
		e.applyOwnPut(record.Nonce, change.Version)
		return
	}
	if e.leading && change.Version > e.fencingToken {
		e.Resign("elected elsewhere: " + record.Node)
	}
	if !e.leading {
		e.releaseLease()
	}
}

func (e *Elector) applyDelete(version uint64) {
	e.holder = Holder{nonce: e.holder.nonce}
	e.vacancyObserved = true
	e.vacantSince = e.outbox.Now()
	if e.leading && version > e.fencingToken {
		e.noteLeaseExpiry()
		e.Resign("leader key deleted")
	}
}

// setHolder replaces the observed holder, and determines at which version its term began.
func (e *Elector) setHolder(record LeaseRecord, version uint64, watched bool) {
	termStart := uint64(0)
	switch {
	case e.vacancyObserved && watched: // a value that follows a delete is not a rewritten one
		termStart = version
	case e.holder.Node == record.Node: // rewritten by the same process, or by a later one of that node
		termStart = e.holder.TermStart
	}
	e.holder = Holder{Node: record.Node, Version: version, TermStart: termStart, nonce: record.Nonce}
	e.vacancyObserved = false
}

// applyOwnPut handles a value of the leader key with this node's name: either this process wrote it
// and the response was lost, or an earlier process of this node wrote it. In the latter case the key
// has to expire before this process can campaign. While a write of this process is in flight, nothing
// is done: its result is handled by campaignDone or replaceTokenDone.
func (e *Elector) applyOwnPut(nonce, version uint64) {
	switch {
	case e.campaigning || e.tokenChanging:
	case !e.leading && e.isOwnWrite(e.node, nonce):
		e.becomeLeader(version)
	case !e.leading:
		e.releaseLease()
	case version > e.fencingToken:
		e.Resign("elected elsewhere: another process of this node")
	}
}
