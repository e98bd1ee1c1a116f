// Package leader ranks the queue, holds the auction, has the records written and draws the
// conclusions from what workers say. The records are the truth: a start leaves only after its
// placement is committed, and a placement is closed only on proof.
package leader

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"coralhub/internal/config"
	"coralhub/internal/core/claim"
	"coralhub/internal/core/fleet"
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

// Micros is a time or a duration in whole microseconds.
type Micros = config.Micros

// Leader is what a node does while it leads, and what it knows for the case that it will.
type Leader struct {
	cfg     *config.Config
	box     *outbox.Box
	book    *records.Book
	form    *records.Form
	catalog *zone.Catalog
	claim   *claim.Claim // to lead
	owner   *owner.Owner // of every zone
	keeper  *fleet.Keeper

	// The time of day less the steady clock's, for the age of jobs that this node has not
	// seen coming. It decides about ranks alone.
	wallAhead Micros

	jobs   map[string]*Job // those of the book, with what a leader adds to them
	active []*Job          // jobs that have anything left, oldest first: passes must not cost more with every finished job
	teams  map[string]*config.Team

	ready     bool // leading, and the records have been read since the claim
	since     Micros
	takeovers uint64
	reigns    uint64 // counts the times that this node began anew

	ended    endedLog
	learning learning
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
	counters counters
}

// New returns the leader that a node may become. Who owns zones and rents machines
// hears from it and tells it, see Use.
func New(cfg *config.Config, box *outbox.Box, form *records.Form, catalog *zone.Catalog, claim *claim.Claim) *Leader {
	c := &Leader{cfg: cfg, box: box, form: form, catalog: catalog, claim: claim, jobs: map[string]*Job{}, teams: map[string]*config.Team{}}
	for i := range cfg.Cluster.Teams {
		t := &cfg.Cluster.Teams[i]
		c.teams[t.Name] = t
	}
	return c
}

// Use gives the leader the rooms that it commands and goes by.
func (c *Leader) Use(book *records.Book, owner *owner.Owner, keeper *fleet.Keeper) {
	c.book, c.owner, c.keeper = book, owner, keeper
	c.reset()
}

// Ready tells whether this node leads and has read the records since its claim.
func (c *Leader) Ready() bool { return c.ready }

// SetWall tells the time of day.
func (c *Leader) SetWall(wall Micros) { c.wallAhead = wall - c.box.Now() }

// Won begins a reign. Nothing is commanded before the records have been read
// after the claim: only then are all placements of predecessors known.
func (c *Leader) Won() {
	c.reset()
	c.since = c.box.Now()
	c.takeovers++
	c.box.Log("leading", "token", c.claim.Token())
	c.box.Emit(msg.Relist{})
}

// Lost ends a reign. The leader forgets what it needs no more; a later
// reign starts from the records.
func (c *Leader) Lost(why string, token uint64) {
	c.box.Log("no longer leading", "why", why, "token", token)
	c.reset()
	c.box.Emit(msg.Relist{})
}

// Wake has a pass come soon.
func (c *Leader) Wake() { c.passDue = true }

// CatalogChanged has everything looked at again by the new machine types.
func (c *Leader) CatalogChanged() {
	c.survey.whole = true
	for _, j := range c.active {
		j.types = typeSet{}
	}
	c.passDue = true
}

// Apply takes a change of a key that only leaders read. It returns false for others.
func (c *Leader) Apply(key string, ev *wire.Change) bool {
	if name, ok := strings.CutPrefix(key, hintPrefix); ok {
		c.hintsIn(name, ev)
		return true
	}
	if num, ok := strings.CutPrefix(key, learntPrefix); ok {
		c.learntIn(num, ev)
		return true
	}
	if strings.HasPrefix(key, home.MailPrefix) {
		c.mailIn(ev)
		return true
	}
	return false
}

// take takes a change of a job's record or of the log.
func (c *Leader) take(ev *wire.Change) {
	if _, err := c.book.Apply(ev); err != nil {
		c.box.Log("unreadable", "error", err.Error())
	}
}

// Tick does what the leader does by time alone.
func (c *Leader) Tick() {
	c.wakeJobs()
	c.writeHints()
	c.tidyEnded()
	c.count()
	c.keepLearnt()
	c.owner.Announce()
	c.owner.Probe()
	c.claim.RaiseIfWanted()
	c.keeper.Tick()
	if c.box.Now()-c.lastPass >= config.FromSeconds(c.cfg.Settings.ScanPeriodS) || c.passAt != 0 && c.box.Now() >= c.passAt {
		c.passDue = true
	}
}

// Settle does what follows from a step: it writes, passes and commands.
func (c *Leader) Settle() {
	c.flushJobs()
	c.writeEnded()
	if c.passDue && c.box.Now()-c.lastPass >= config.FromMillis(c.cfg.Settings.PassIntervalMS) {
		c.pass()
		c.flushJobs()
	}
	c.refreshMachines()
	c.owner.SendUrgent()
}

// Read completes a takeover: all records as of a revision have been read.
func (c *Leader) Read(revision uint64) {
	if !c.claim.Held() || c.ready || revision < c.claim.Token() {
		return
	}
	c.ready = true
	open := 0
	for _, id := range c.sortedJobs() {
		j := c.jobs[id]
		j.closes, j.plan, j.txn = nil, nil, nil
		c.placed(j, nil, j.Rec.Open)
		for i := range j.Parts {
			c.placed(j, nil, j.Parts[i].Open)
		}
		open += j.Open
		if j.Rec.Spec != nil && j.Rec.Spec.Shape == wire.Gang && j.Open > 0 && j.Open < j.Rec.Spec.Tasks {
			// Where the missing tasks were is not known any more, and an attempt
			// must not come to the same machine twice: the gang starts anew.
			j.deadGang = max(j.deadGang, j.Rec.Attempt)
		}
		if !j.Over() || len(j.Parts) > 0 {
			c.dirty[id] = true
		}
	}
	c.keeper.Begin()
	c.owner.Begin()
	for _, m := range c.owner.Roster().All() {
		c.watch(m)
	}
	c.startLearning()
	c.passDue = true
	c.box.Log("records read", "open_placements", open, "machines", c.owner.Roster().Len(), "after_ms", (c.box.Now()-c.since)/1000)
}

func (c *Leader) reset() {
	for _, j := range c.jobs {
		j.closes, j.plan, j.txn, j.reserved, j.mergeNow = nil, nil, nil, nil, false
		j.standing, j.runs = standing{}, runs{}
	}
	c.ready = false
	looked := c.survey.lookedAt
	c.survey = newSurvey(c.cfg.Cluster.Zones)
	c.survey.lookedAt = looked
	c.owner.Reset()
	c.keeper.Reset()
	c.reigns++
	c.writing = 0
	c.ended = endedLog{writeAt: c.ended.writeAt, leaving: map[uint64]bool{}}
	c.dirty, c.delayed = map[string]bool{}, map[string]bool{}
	c.usage = queue.NewUsage(config.FromSeconds(c.cfg.Settings.UsageWindowS))
	c.learning = learning{stored: c.learning.stored}
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

func (c *Leader) sortedJobs() []string {
	return slices.Sorted(maps.Keys(c.jobs))
}

// setActive puts a job into the list of active ones or takes it out.
func (c *Leader) setActive(j *Job, active bool) {
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
func (c *Leader) outdatePlan(j *Job) {
	if j.txn == nil {
		c.setPlan(j, nil)
	}
}

// placed has the machines looked at on which something was placed or closed.
func (c *Leader) placed(j *Job, old, now []job.Placement) {
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

// revise has a pass and the writing of records look at a job.
func (c *Leader) revise(j *Job) {
	c.passDue = true
	if c.ready {
		c.dirty[j.ID] = true
	}
}

// What follows hears of the records.

// Born hears of a job that nothing was known of.
func (c *Leader) Born(r *records.Job) { c.jobs[r.ID] = &Job{Job: r, arrived: c.box.Now()} }

// Placed hears what is open of one part of a job.
func (c *Leader) Placed(r *records.Job, old, now []job.Placement) { c.placed(c.jobs[r.ID], old, now) }

// Stored hears that plans for a job are out of date.
func (c *Leader) Stored(r *records.Job) { c.outdatePlan(c.jobs[r.ID]) }

// Recorded hears of a newer record of a job.
func (c *Leader) Recorded(r *records.Job) {
	j := c.jobs[r.ID]
	c.setActive(j, r.Rec.Spec != nil)
	if r.Rec.Created > 0 && c.wallAhead > 0 && !r.NeedsOthers() {
		j.arrived = min(c.box.Now(), r.Rec.Created-c.wallAhead)
	}
}

// Ended hears that a job's phase is final.
func (c *Leader) Ended(r *records.Job) {
	if r.Rec.Spec == nil {
		j := c.jobs[r.ID]
		j.started, j.failedOn, j.closes, j.reserved = nil, nil, nil, nil
		j.runs = runs{}
		c.owner.OverAll(r.ID)
	}
}

// Changed hears that something about a job has changed.
func (c *Leader) Changed(r *records.Job) {
	j := c.jobs[r.ID]
	c.changed(j)
	c.revise(j)
}

// Freed hears that a job waits for no other any more.
func (c *Leader) Freed(r *records.Job) {
	j := c.jobs[r.ID]
	j.arrived = c.box.Now() // its times count from now on
	c.changed(j)
	c.passDue = true
}

// Doomed hears that a job is as good as cancelled.
func (c *Leader) Doomed(r *records.Job) {
	c.changed(c.jobs[r.ID])
	if c.ready {
		c.dirty[r.ID] = true
	}
}
