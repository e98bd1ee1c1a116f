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
	"coralhub/internal/core/accounts"
	"coralhub/internal/core/claim"
	"coralhub/internal/core/fleet"
	"coralhub/internal/core/front"
	"coralhub/internal/core/home"
	"coralhub/internal/core/job"
	"coralhub/internal/core/leader"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/owner"
	"coralhub/internal/core/records"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// Keys beside the jobs'.
const (
	leaderKey  = job.Root + "leader"
	catalogKey = job.Root + "catalog"
)

// Micros is a time or a duration in whole microseconds.
type Micros = config.Micros

// Core is one node's state.
type Core struct {
	cfg *config.Config

	box     *outbox.Box
	form    *records.Form
	catalog *zone.Catalog
	front   *front.Front
	claim   *claim.Claim // to lead
	home    *home.Home
	leader  *leader.Leader
	keeper  *fleet.Keeper
	owner   *owner.Owner // of every zone, as the leader

	loaded         bool             // a first Snapshot has come
	replica        *records.Replica // what is committed about jobs
	catalogVersion uint64
	catalogAsked   Micros

	upgrade
}

// New returns a node that knows nothing yet. The seed decides the moments at
// which nodes that start together do things.
func New(cfg *config.Config, seed uint64) *Core {
	c := &Core{cfg: cfg, form: records.NewForm(&cfg.Cluster.State), catalog: &zone.Catalog{}, upgrade: upgrade{announced: map[string]job.Format{}}}
	c.box = outbox.New(c.malformed)
	c.claim = claim.New(c.box, leaderKey, cfg.Node, config.FromMillis(cfg.Settings.LeaderLeaseMS), seed, claimListener{c})
	c.leader = leader.New(cfg, c.box, c.form, c.catalog, c.claim)
	hears := &listener{Leader: c.leader}
	c.replica = records.New(hears)
	c.front = front.New(cfg, c.box, c.replica, c.form, c.catalog, frontNode{c})
	hears.front = c.front
	c.home = home.New(cfg, c.box, c.replica, c.form, c.claim)
	hears.home = c.home
	c.owner = owner.New(cfg, c.box, c.replica, c.claim, c.leader.Desk())
	c.keeper = fleet.NewKeeper(cfg, c.box, c.replica, c.catalog, c.claim, c.owner, c.leader.Desk())
	c.leader.Use(c.replica, c.owner, c.keeper)
	return c
}

// Step handles one input.
func (c *Core) Step(now Micros, in msg.Input) []msg.Effect {
	c.box.Begin(now)
	switch x := in.(type) {
	case msg.Tick:
		c.leader.SetWall(x.Wall)
		c.tick()
	case msg.Snapshot:
		c.snapshot(x)
	case msg.Changed:
		for i := range x.Events {
			c.apply(&x.Events[i])
			c.replica.Upto(x.Events[i].Version)
		}
		c.replica.Current(x.AsOf)
		c.front.Followed()
	case msg.ForwardDone:
		c.home.ForwardDone(x)
	case msg.BeatIn:
		c.leader.BeatIn(x)
	case msg.BeatDone:
		c.home.BeatDone(x)
	case msg.PeerHeard:
		c.home.PeerHeard(x)
	case msg.Hint:
		c.hint(&x.Event)
	case msg.CommitDone:
		c.box.CommitDone(x)
	case msg.ReadDone:
		c.box.ReadDone(x)
	case msg.LeaseDone:
		c.claim.LeaseDone(x)
	case msg.ReportIn:
		c.report(x)
	case msg.CommandDone:
		c.owner.CommandDone(x)
	case msg.CatalogDone:
		c.catalogDone(x)
	case msg.ListDone:
		c.keeper.ListDone(x)
	case msg.RentDone:
		c.keeper.RentDone(x)
	case msg.ReleaseDone:
		c.keeper.ReleaseDone(x)
	case msg.SubmitIn:
		c.front.Submit(x)
	case msg.PollIn:
		c.front.Poll(x)
	case msg.CancelIn:
		c.front.Cancel(x)
	case msg.AdminIn:
		c.leader.Admin(x)
	}
	if c.leader.Ready() {
		c.leader.Settle()
	}
	c.front.Flush()
	return c.box.End()
}

// tick does what is due by time alone.
func (c *Core) tick() {
	c.front.Tick()
	c.home.Tick(c.leader.Ready())
	c.announceFormat()
	if c.serving() {
		c.claim.Tick()
	}
	// Without the machine types no job can be accepted: a node whose records don't have
	// them asks at once.
	if !c.catalog.Known() && c.loaded && (c.catalogAsked == 0 || c.box.Now()-c.catalogAsked > config.Second) || c.leader.Ready() && c.box.Now()-c.catalogAsked > 30*config.Second {
		c.catalogAsked = c.box.Now()
		c.box.Emit(msg.FetchCatalog{})
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
			c.claim.Apply(ev, false)
			continue
		}
		c.apply(ev)
	}
	if !listed[leaderKey] {
		c.claim.Listed(s.Revision)
	}
	c.replica.Listed(s.Revision, listed)
	c.replica.Upto(s.Revision)
	c.loaded = true
	c.leader.Read(s.Revision)
}

// apply takes a put or a delete that has happened.
func (c *Core) apply(ev *wire.Change) {
	key := ev.Put
	if key == "" {
		key = ev.Delete
	}
	switch {
	case key == leaderKey:
		c.claim.Apply(ev, true)
		return
	case key == catalogKey:
		var cat wire.Catalog
		if ev.Version > c.catalogVersion && ev.Put != "" && job.Decode(ev.Value, &cat) == nil {
			c.catalogVersion = ev.Version
			c.setCatalog(&cat)
		}
		return
	case key == formatKey:
		c.formatIn(ev)
		return
	}
	if name, ok := strings.CutPrefix(key, announcePrefix); ok {
		c.announcementIn(name, ev)
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
		if err != nil || !c.form.Fits(value) {
			return
		}
		c.box.Commit(wire.Commit{Changes: []wire.Change{{Put: catalogKey, Value: value}}}, msg.ForOther, func(d msg.CommitDone) {
			if d.Outcome == msg.OK && d.Revision > c.catalogVersion {
				c.catalogVersion = d.Revision
			}
		})
	}
}

// malformed is told of a transaction that the state service has refused as
// malformed: a defect, or limits below those that this node was told of. The
// same bytes must not be sent for ever; so values become smaller, down to a bound.
func (c *Core) malformed(t *wire.Commit) {
	var puts []string
	for i := range t.Changes {
		if t.Changes[i].Put != "" {
			puts = append(puts, t.Changes[i].Put)
		}
	}
	c.box.Log("refused as malformed by the state service", "puts", strings.Join(puts, " "), "value_bytes", c.form.Room())
	if len(puts) == 0 {
		return // no value is at fault
	}
	c.form.Tighten()
}

// Looked tells what this node's passes have looked at.
func (c *Core) Looked() leader.Looked { return c.leader.Looked() }

// Accounts are what the records say that teams and classes have used.
func (c *Core) Accounts() *accounts.Book { return c.leader.Accounts() }

// Audit holds what passes go by against the records, for tests.
func (c *Core) Audit() error { return c.leader.Audit() }
