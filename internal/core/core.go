// Package core implements the scheduler of a node as a deterministic state machine: Step handles an input
// and returns the effects that the node has to execute. A core has no clock, does no I/O and starts no
// goroutines, and nothing in it depends on the iteration order of a map.
//
// Every node keeps a replica of the records, which are stored in the state service (a key-value store),
// answers users and is ready to become the leader. Each of these concerns is implemented by a component in
// a package of its own; the core dispatches inputs to the components. See docs/design.md.
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
	"coralhub/internal/core/query"
	"coralhub/internal/core/reconciler"
	"coralhub/internal/core/records"
	"coralhub/internal/core/relay"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// leaderKey is the key of the leader election.
const leaderKey = job.KeyRoot + "leader"

// Micros is a time or a duration in whole microseconds.
type Micros = config.Micros

// Core is the state of one node. It is not safe for concurrent use.
type Core struct {
	cfg *config.Config

	outbox     *outbox.Outbox
	encoding   *records.Encoding
	catalog    *zone.Catalog
	frontend   *frontend.Frontend
	elector    *election.Elector
	relay      *relay.Relay
	leader     *leader.Leader
	autoscaler *autoscaler.Autoscaler
	reconciler *reconciler.Reconciler

	loaded  bool // whether a msg.Snapshot, a listing of the state service, has been applied
	replica *records.Replica

	catalogState
	formatState
}

// New returns a core that has not read any records. The seed determines the jitter, which separates the
// campaigns of nodes that start at the same time.
func New(cfg *config.Config, seed uint64) *Core {
	c := &Core{
		cfg:         cfg,
		encoding:    records.NewEncoding(&cfg.Cluster.State),
		catalog:     &zone.Catalog{},
		formatState: formatState{announcedFormats: map[string]job.Format{}},
	}
	c.outbox = outbox.New(c.reduceMaxValueBytes)
	leaseTTL := config.FromMillis(cfg.Settings.LeaderLeaseMS)
	c.elector = election.New(c.outbox, leaderKey, cfg.Node, leaseTTL, seed, electionListener{c})
	c.leader = leader.New(cfg, c.outbox, c.encoding, c.catalog, c.elector)
	listener := &recordsListener{RecordHandler: c.leader.RecordHandler()}
	c.replica = records.New(listener)
	c.frontend = frontend.New(cfg, c.outbox, c.replica, c.encoding, c.catalog, frontendNode{c})
	listener.frontend = c.frontend
	c.relay = relay.New(cfg, c.outbox, c.replica, c.encoding, c.elector)
	listener.relay = c.relay
	c.reconciler = reconciler.New(cfg, c.outbox, c.replica, c.elector, c.leader.EventHandler())
	c.autoscaler = autoscaler.New(cfg, c.outbox, c.replica, c.catalog, c.elector, c.reconciler, c.leader.EventHandler())
	c.leader.Attach(c.replica, c.reconciler, c.autoscaler)
	return c
}

// Step handles one input at the given time, and returns the effects to be executed.
func (c *Core) Step(now Micros, in msg.Input) []msg.Effect {
	c.outbox.Begin(now)
	c.dispatch(in)
	if c.leader.Ready() {
		c.leader.AfterStep()
	}
	c.frontend.SendReadCheck()
	return c.outbox.End()
}

// dispatch passes an input to the component that handles it.
func (c *Core) dispatch(in msg.Input) {
	switch x := in.(type) {
	case msg.Tick:
		c.leader.SetWallClock(x.WallClock)
		c.tick()
	case msg.Snapshot:
		c.applySnapshot(x)
	case msg.Changed:
		c.applyChanges(x)
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
}

// tick performs the actions that become due with time.
func (c *Core) tick() {
	c.frontend.Tick()
	c.relay.Tick(c.leader.Ready())
	c.announceFormat()
	if c.canServe() {
		c.elector.Tick()
	}
	c.fetchCatalogIfDue()
	if c.leader.Ready() {
		c.raiseFormat()
		c.leader.Tick()
	}
}

// notServingReason returns the reason why this node cannot answer users and workers, or "" if it can.
func (c *Core) notServingReason() string {
	switch {
	case c.formatUnsupported:
		return "the records are of a later version"
	case !c.loaded:
		return "starting"
	}
	return ""
}

// canServe reports whether this node can answer users and workers.
func (c *Core) canServe() bool { return c.notServingReason() == "" }

// reduceMaxValueBytes is called with a transaction that the state service has rejected as malformed, either
// because of a defect or because the service's limits are below the configured ones. So that the same bytes
// are not sent indefinitely, it reduces the maximum size of values, down to a lower bound.
func (c *Core) reduceMaxValueBytes(transaction *wire.Transaction) {
	var puts []string
	for i := range transaction.Changes {
		if put := transaction.Changes[i].Put; put != "" {
			puts = append(puts, put)
		}
	}
	c.outbox.Log("transaction rejected as malformed", "puts", strings.Join(puts, " "),
		"max_value_bytes", c.encoding.MaxValueBytes())
	if len(puts) == 0 {
		return // the size of values is not the cause
	}
	c.encoding.ReduceMaxValueBytes()
}

// CycleStatistics returns the number of this node's scheduling cycles and of the machines and jobs that they have
// examined.
func (c *Core) CycleStatistics() query.CycleStatistics { return c.leader.CycleStatistics() }

// UsageLedger returns the resource usage by team and class according to the records.
func (c *Core) UsageLedger() *accounting.Ledger { return c.leader.UsageLedger() }

// Audit compares the scheduler's snapshot of the cluster with the records and returns the first
// difference as an error. It is intended for tests.
func (c *Core) Audit() error { return c.leader.Audit() }
