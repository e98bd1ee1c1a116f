// Package core is the service as a deterministic state machine: Step takes an
// input and returns what to send, write and answer. It has no clock, no I/O
// and no goroutines, and nothing in it depends on the order of a map.
//
// Every node keeps a copy of the records, answers users and stands by to lead.
// The leader ranks, grants and rents; it also owns every zone and commands the
// workers. The records are the truth: a start leaves only after its placement
// is committed, and a placement is closed only on proof.
package core

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"coralhub/internal/config"
	"coralhub/internal/core/claim"
	"coralhub/internal/core/fleet"
	"coralhub/internal/core/front"
	"coralhub/internal/core/home"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/owner"
	"coralhub/internal/core/queue"
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
	now Micros
	// The time of day less now, for the age of jobs that this node has not seen
	// coming. It decides about ranks alone.
	wallAhead Micros

	box     *outbox.Box
	form    *records.Form
	catalog *zone.Catalog
	front   *front.Front
	claim   *claim.Claim // to lead
	home    *home.Home
	keeper  *fleet.Keeper
	owner   *owner.Owner // of every zone, as the leader

	loaded         bool            // a first Snapshot has come
	book           *records.Book   // what is committed about jobs
	jobs           map[string]*Job // the same jobs, with what this node adds to them
	active         []*Job          // jobs that have anything left, oldest first: passes must not cost more with every finished job
	catalogVersion uint64
	catalogAsked   Micros

	teams map[string]*config.Team

	reign
	upgrade
	ended    endedLog
	learning learning

	// What follows is only of use to the leader.
	survey   survey
	usage    *queue.Usage
	passDue  bool
	passAt   Micros // when one is due though nothing happens; 0: never
	lastPass Micros
	pages    [hintPages]hintPage
	pageNext int
	pageAt   Micros
	dirty    map[string]bool // jobs with facts to commit
	delayed  map[string]bool // those that can't be committed before the next tick
	writing  int             // changes to jobs on their way
	reigns   uint64          // counts the times that this node began anew
	counters counters
}

// Job is a job as this node knows it.
type Job struct {
	*records.Job

	// For the leader: what has been learnt or decided and is to be committed.
	active  bool
	created Micros // as it stands in the order of active jobs
	standing
	runs
	types    typeSet
	closes   []closing
	mergeNow bool              // to be written so that a page of the log can go
	left     map[string]uint64 // machines that an attempt of a gang has left
	plan     []job.Placement
	txn      *txn
	retryAt  Micros

	arrived    Micros // when this node first saw the job
	started    map[int]Micros
	deadGang   uint64 // gang attempts up to this one can't be completed
	gangRan    uint64 // highest gang attempt that ran
	failures   int
	failedOn   map[string]Micros
	holdUntil  Micros
	preempted  Micros          // victims are leaving until then
	reserved   map[string]bool // machines that they leave
	cancelling bool
	tooLarge   bool // its record was once found too large to be written
	parting    bool // its tasks are to be moved out of its record
}

// closing is a placement with proof that it is over.
type closing struct {
	key     job.Key
	machine string
	done    bool
	noted   bool // on its way into the log of ended attempts
}

// New returns a node that knows nothing yet. The seed decides the moments at
// which nodes that start together do things.
func New(cfg *config.Config, seed uint64) *Core {
	c := &Core{
		cfg:     cfg,
		form:    records.NewForm(&cfg.Cluster.State),
		catalog: &zone.Catalog{},
		jobs:    map[string]*Job{},
		teams:   map[string]*config.Team{},
		dirty:   map[string]bool{},
	}
	c.box = outbox.New(c.malformed)
	c.book = records.New(listener{c})
	c.claim = claim.New(c.box, leaderKey, cfg.Node, config.FromMillis(cfg.Settings.LeaderLeaseMS), seed, throne{c})
	c.home = home.New(cfg, c.box, c.book, c.form, c.claim)
	c.owner = owner.New(cfg, c.box, c.book, c.claim, desk{c})
	c.keeper = fleet.NewKeeper(cfg, c.box, c.book, c.catalog, c.claim, c.owner, desk{c})
	c.front = front.New(cfg, c.box, c.book, c.form, c.catalog, house{c})
	for i := range cfg.Cluster.Teams {
		t := &cfg.Cluster.Teams[i]
		c.teams[t.Name] = t
	}
	c.upgrade = upgrade{announced: map[string]job.Format{}}
	c.resetLeader()
	return c
}

// Step handles one input.
func (c *Core) Step(now Micros, in msg.Input) []msg.Effect {
	c.now = now
	c.box.Begin(now)
	switch x := in.(type) {
	case msg.Tick:
		c.wallAhead = x.Wall - now
		c.tick()
	case msg.Snapshot:
		c.snapshot(x)
	case msg.Changed:
		for i := range x.Events {
			c.apply(&x.Events[i])
		}
		c.book.Current(now - x.Age)
	case msg.ForwardDone:
		c.home.ForwardDone(x)
	case msg.BeatIn:
		c.beatIn(x)
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
		c.admin(x)
	}
	if c.ready {
		c.flushJobs()
		c.writeEnded()
		if c.passDue && now-c.lastPass >= config.FromMillis(c.cfg.Settings.PassIntervalMS) {
			c.pass()
			c.flushJobs()
		}
		c.refreshMachines()
		c.owner.SendUrgent()
	}
	c.front.Flush()
	return c.box.End()
}

// tick does what is due by time alone.
func (c *Core) tick() {
	c.front.Tick()
	c.home.Tick(c.ready)
	c.announceFormat()
	if c.serving() {
		c.claim.Tick()
	}
	// Without the machine types no job can be accepted: a node whose records don't have
	// them asks at once.
	if !c.catalog.Known() && c.loaded && (c.catalogAsked == 0 || c.now-c.catalogAsked > config.Second) || c.ready && c.now-c.catalogAsked > 30*config.Second {
		c.catalogAsked = c.now
		c.box.Emit(msg.FetchCatalog{})
	}
	if c.ready {
		c.raiseFormat()
		c.wakeJobs()
		c.tickLeader()
	}
}

// snapshot replaces what this node knows by a listing. Keys that changed
// after the listing began come again through the watch.
func (c *Core) snapshot(s msg.Snapshot) {
	listed := make(map[string]bool, len(s.Items))
	for i := range s.Items {
		it := &s.Items[i]
		listed[it.Key] = true
		c.apply(&wire.Change{Put: it.Key, Value: it.Value, Version: it.Version})
	}
	if !listed[leaderKey] {
		c.claim.Listed(s.Revision)
	}
	c.book.Listed(s.Revision, listed)
	c.loaded = true
	c.afterSnapshot(s.Revision)
}

func (c *Core) sortedJobs() []string {
	return slices.Sorted(maps.Keys(c.jobs))
}

// apply takes a put or a delete that has happened.
func (c *Core) apply(ev *wire.Change) {
	key := ev.Put
	if key == "" {
		key = ev.Delete
	}
	switch {
	case key == leaderKey:
		c.claim.Apply(ev)
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
	if name, ok := strings.CutPrefix(key, hintPrefix); ok {
		c.hintsIn(name, ev)
		return
	}
	if num, ok := strings.CutPrefix(key, learntPrefix); ok {
		c.learntIn(num, ev)
		return
	}
	if strings.HasPrefix(key, home.MailPrefix) {
		c.mailIn(ev)
		return
	}
	if _, err := c.book.Apply(ev); err != nil {
		c.box.Log("unreadable", "error", err.Error())
	}
}

// setActive puts a job into the list of active ones or takes it out.
func (c *Core) setActive(j *Job, active bool) {
	if active == j.active {
		return
	}
	if active {
		j.created = j.Rec.Created
	}
	i, _ := slices.BinarySearchFunc(c.active, j, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.created, b.created), cmp.Compare(a.ID, b.ID))
	})
	if j.active = active; active {
		c.active = slices.Insert(c.active, i, j)
	} else {
		c.active = slices.Delete(c.active, i, i+1)
	}
}

// outdatePlan drops a plan that was made for an older record. A transaction
// that had no answer may have placed the same tasks after all: placed once more
// they would run twice. What is in flight keeps its plan, for its places count.
func (c *Core) outdatePlan(j *Job) {
	if j.txn == nil {
		c.setPlan(j, nil)
	}
}

// placed has the machines looked at on which something was placed or closed.
func (c *Core) placed(j *Job, old, now []job.Placement) {
	for _, p := range old {
		if !slices.Contains(now, p) {
			delete(j.started, p.Task)
			delete(j.mine, p.Task)
		}
		if m := c.owner.Roster().Get(p.Machine); m != nil {
			c.touch(m)
		}
	}
	for _, p := range now {
		if m := c.owner.Roster().Get(p.Machine); m != nil {
			c.touch(m)
		}
	}
	if !c.ready {
		return
	}
	had := make(map[job.Key]bool, len(old))
	for _, p := range old {
		had[p.Key(j.ID)] = true
	}
	for _, p := range now {
		if had[p.Key(j.ID)] {
			continue
		}
		if m := c.owner.Roster().Get(p.Machine); m != nil {
			c.owner.Hurry(m)
		} else if c.keeper.Gone(p.Machine) {
			// Deleted while the transaction was under way: nobody else would
			// ever close the placement.
			c.close(p.Key(j.ID), p.Machine, false)
		}
	}
}

func (c *Core) setCatalog(cat *wire.Catalog) {
	c.catalog.Set(cat)
	c.survey.whole = true
	for _, j := range c.active {
		j.types = typeSet{}
	}
	c.passDue = true
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
	if c.ready && (!same || c.catalogVersion == 0) {
		value, err := job.Encode(&x.Catalog)
		if err != nil || !c.form.Fits(value) {
			return
		}
		c.box.Commit(wire.Commit{Changes: []wire.Change{{Put: catalogKey, Value: value}}}, func(d msg.CommitDone) {
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
