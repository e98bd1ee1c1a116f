// Package core is the service as a deterministic state machine: Step takes an
// input and returns what to send, write and answer. It has no clock, no I/O
// and no goroutines, and nothing in it depends on the order of a map.
//
// Every node keeps a copy of the records, answers users and stands by to lead. What a
// node does is in rooms, packages with a state of their own; the core hands inputs to
// them. See docs/design.md, "Rooms".
package core

import (
	"strings"

	"coralhub/internal/config"
	"coralhub/internal/core/accounting"
	"coralhub/internal/core/autoscaler"
	"coralhub/internal/core/election"
	"coralhub/internal/core/frontend"
	"coralhub/internal/core/job"
	"coralhub/internal/core/leader"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/reconciler"
	"coralhub/internal/core/records"
	"coralhub/internal/core/relay"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// Keys beside the jobs'.
const (
	leaderKey  = job.KeyRoot + "leader"
	catalogKey = job.KeyRoot + "catalog"
)

// Micros is a time or a duration in whole microseconds.
type Micros = config.Micros

// Core is one node's state.
type Core struct {
	cfg *config.Config

	outbox     *outbox.Outbox
	encoding   *records.Encoding
	catalog    *zone.Catalog
	frontend   *frontend.Frontend
	elector    *election.Elector // to lead
	relay      *relay.Relay
	leader     *leader.Leader
	autoscaler *autoscaler.Autoscaler
	reconciler *reconciler.Reconciler // of every zone, as the leader

	loaded             bool             // a first Snapshot has come
	replica            *records.Replica // what is committed about jobs
	catalogVersion     uint64
	catalogRequestedAt Micros

	formatState
}

// New returns a node that knows nothing yet. The seed decides the moments at
// which nodes that start together do things.
func New(cfg *config.Config, seed uint64) *Core {
	c := &Core{cfg: cfg, encoding: records.NewEncoding(&cfg.Cluster.State), catalog: &zone.Catalog{}, formatState: formatState{announcedFormats: map[string]job.Format{}}}
	c.outbox = outbox.New(c.reduceMaxValueBytes)
	c.elector = election.New(c.outbox, leaderKey, cfg.Node, config.FromMillis(cfg.Settings.LeaderLeaseMS), seed, electionListener{c})
	c.leader = leader.New(cfg, c.outbox, c.encoding, c.catalog, c.elector)
	hears := &recordsListener{Leader: c.leader}
	c.replica = records.New(hears)
	c.frontend = frontend.New(cfg, c.outbox, c.replica, c.encoding, c.catalog, frontendNode{c})
	hears.frontend = c.frontend
	c.relay = relay.New(cfg, c.outbox, c.replica, c.encoding, c.elector)
	hears.relay = c.relay
	c.reconciler = reconciler.New(cfg, c.outbox, c.replica, c.elector, c.leader.EventHandler())
	c.autoscaler = autoscaler.New(cfg, c.outbox, c.replica, c.catalog, c.elector, c.reconciler, c.leader.EventHandler())
	c.leader.Attach(c.replica, c.reconciler, c.autoscaler)
	return c
}

// Step handles one input.
func (c *Core) Step(now Micros, in msg.Input) []msg.Effect {
	c.outbox.Begin(now)
	switch x := in.(type) {
	case msg.Tick:
		c.leader.SetWallClock(x.WallClock)
		c.tick()
	case msg.Snapshot:
		c.snapshot(x)
	case msg.Changed:
		for i := range x.Events {
			c.apply(&x.Events[i])
			c.replica.NoteRevision(x.Events[i].Version)
		}
		c.replica.NoteCurrent(x.CurrentAt)
		c.frontend.WatchAdvanced()
	case msg.ForwardDone:
		c.relay.ForwardDone(x)
	case msg.HeartbeatBatchIn:
		c.leader.HeartbeatBatchIn(x)
	case msg.HeartbeatBatchDone:
		c.relay.HeartbeatBatchDone(x)
	case msg.PeerAlive:
		c.relay.PeerAlive(x)
	case msg.PeerUpdate:
		c.applyPeerUpdate(&x.Change)
	case msg.CommitDone:
		c.outbox.CommitDone(x)
	case msg.ReadDone:
		c.outbox.ReadDone(x)
	case msg.LeaseDone:
		c.elector.LeaseDone(x)
	case msg.HeartbeatIn:
		c.handleHeartbeat(x)
	case msg.CommandDone:
		c.reconciler.CommandDone(x)
	case msg.CatalogDone:
		c.catalogDone(x)
	case msg.ListDone:
		c.autoscaler.ListDone(x)
	case msg.ScaleOutDone:
		c.autoscaler.ScaleOutDone(x)
	case msg.ScaleInDone:
		c.autoscaler.ScaleInDone(x)
	case msg.SubmitIn:
		c.frontend.Submit(x)
	case msg.PollIn:
		c.frontend.Poll(x)
	case msg.CancelIn:
		c.frontend.Cancel(x)
	case msg.AdminIn:
		c.leader.AnswerQuery(x)
	}
	if c.leader.Ready() {
		c.leader.AfterStep()
	}
	c.frontend.Flush()
	return c.outbox.End()
}

// tick does what is due by time alone.
func (c *Core) tick() {
	c.frontend.Tick()
	c.relay.Tick(c.leader.Ready())
	c.announceFormat()
	if c.canServe() {
		c.elector.Tick()
	}
	// Without the machine types no job can be accepted: a node whose records don't have
	// them asks at once.
	if !c.catalog.Known() && c.loaded && (c.catalogRequestedAt == 0 || c.outbox.Now()-c.catalogRequestedAt > config.Second) || c.leader.Ready() && c.outbox.Now()-c.catalogRequestedAt > 30*config.Second {
		c.catalogRequestedAt = c.outbox.Now()
		c.outbox.Emit(msg.FetchCatalog{})
	}
	if c.leader.Ready() {
		c.raiseFormat()
		c.leader.Tick()
	}
}

// snapshot replaces what this node knows by a listing. Keys that changed
// after the listing began come again through the watch.
func (c *Core) snapshot(s msg.Snapshot) {
	listed := make(map[string]bool, len(s.Items))
	for i := range s.Items {
		it := &s.Items[i]
		listed[it.Key] = true
		ev := &wire.Change{Put: it.Key, Value: it.Value, Version: it.Version}
		if it.Key == leaderKey {
			c.elector.Apply(ev, false)
			continue
		}
		c.apply(ev)
	}
	if !listed[leaderKey] {
		c.elector.ApplyListingWithoutHolder(s.Revision)
	}
	c.replica.ApplyListing(s.Revision, listed)
	c.replica.NoteRevision(s.Revision)
	c.loaded = true
	c.leader.OnRecordsRead(s.Revision)
}

// apply takes a put or a delete that has happened.
func (c *Core) apply(ev *wire.Change) {
	key := ev.Put
	if key == "" {
		key = ev.Delete
	}
	switch {
	case key == leaderKey:
		c.elector.Apply(ev, true)
		return
	case key == catalogKey:
		var cat wire.Catalog
		if ev.Version > c.catalogVersion && ev.Put != "" && job.Decode(ev.Value, &cat) == nil {
			c.catalogVersion = ev.Version
			c.setCatalog(&cat)
		}
		return
	case key == formatKey:
		c.applyFormat(ev)
		return
	}
	if name, ok := strings.CutPrefix(key, announcePrefix); ok {
		c.applyAnnouncement(name, ev)
		return
	}
	c.leader.Apply(key, ev)
}

func (c *Core) setCatalog(cat *wire.Catalog) {
	c.catalog.Set(cat)
	c.leader.CatalogChanged()
}

// catalogDone takes the machine types. The leader keeps them in the state
// service, so that nodes that start during an outage of the cloud know them.
func (c *Core) catalogDone(x msg.CatalogDone) {
	if x.Outcome != msg.OK || len(x.Catalog.Types) == 0 {
		return
	}
	same := len(c.catalog.Types) == len(x.Catalog.Types)
	for _, t := range x.Catalog.Types {
		o := c.catalog.Types[t.Name]
		same = same && o != nil && o.CPUs == t.CPUs && o.GPUs == t.GPUs && o.MemoryGB == t.MemoryGB
	}
	c.setCatalog(&x.Catalog)
	if c.leader.Ready() && (!same || c.catalogVersion == 0) {
		value, err := job.Encode(&x.Catalog)
		if err != nil || !c.encoding.Fits(value) {
			return
		}
		c.outbox.Commit(wire.Transaction{Changes: []wire.Change{{Put: catalogKey, Value: value}}}, msg.PurposeOther, func(d msg.CommitDone) {
			if d.Outcome == msg.OK && d.Revision > c.catalogVersion {
				c.catalogVersion = d.Revision
			}
		})
	}
}

// reduceMaxValueBytes is told of a transaction that the state service has refused as
// malformed: a defect, or limits below those that this node was told of. The
// same bytes must not be sent for ever; so values become smaller, down to a bound.
func (c *Core) reduceMaxValueBytes(t *wire.Transaction) {
	var puts []string
	for i := range t.Changes {
		if t.Changes[i].Put != "" {
			puts = append(puts, t.Changes[i].Put)
		}
	}
	c.outbox.Log("transaction rejected as malformed", "puts", strings.Join(puts, " "), "max_value_bytes", c.encoding.MaxValueBytes())
	if len(puts) == 0 {
		return // no value is at fault
	}
	c.encoding.ReduceMaxValueBytes()
}

// CycleStatistics tells what this node's passes have looked at.
func (c *Core) CycleStatistics() leader.CycleStatistics { return c.leader.CycleStatistics() }

// UsageLedger are what the records say that teams and classes have used.
func (c *Core) UsageLedger() *accounting.Ledger { return c.leader.UsageLedger() }

// Audit holds what passes go by against the records, for tests.
func (c *Core) Audit() error { return c.leader.Audit() }
