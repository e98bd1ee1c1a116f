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
	"coralhub/internal/core/accounts"
	"coralhub/internal/core/claim"
	"coralhub/internal/core/fleet"
	"coralhub/internal/core/home"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/owner"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/records"
	"coralhub/internal/core/served"
	"coralhub/internal/core/standing"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// Micros is a time or a duration in whole microseconds.
type Micros = config.Micros

// Leader is what a node does while it leads, and what it knows for the case that it will.
type Leader struct {
	cfg     *config.Config
	box     *outbox.Box
	replica *records.Replica
	form    *records.Form
	catalog *zone.Catalog
	claim   *claim.Claim // to lead
	owner   *owner.Owner // of every zone
	keeper  *fleet.Keeper

	// The time of day less the steady clock's, for the age of jobs that this node has not
	// seen coming. It decides about ranks alone.
	wallAhead Micros

	jobs   map[string]*Job // those of the replica, with what a leader adds to them
	active []*Job          // jobs that have anything left, oldest first: passes must not cost more with every finished job
	teams  map[string]*config.Team

	ready     bool // leading, and the records have been read since the claim
	since     Micros
	takeovers uint64
	reigns    uint64 // counts the times that this node began anew

	ended     endedLog
	placing   placing
	learning  learning
	survey    survey
	usage     *queue.Usage
	weights   map[string]float64 // of teams
	passDue   bool
	passAt    Micros // when one is due though nothing happens; 0: never
	lastPass  Micros
	pages     [hintPages]hintPage
	pageNext  int
	pageAt    Micros
	dirty     map[string]bool // jobs with facts to commit
	delayed   map[string]bool // those that can't be committed before the next tick
	writing   int             // changes to jobs on their way
	counters  counters
	gathering gathering
	service   service
	order     order
	deciding  deciding
	accounts  accounts.Book
	toldUseAt Micros
	standIns  map[string]standIn // by node
	assured   uint64             // the last version of a record by which a cancellation was told
}

// New returns the leader that a node may become. Who owns zones and rents machines
// hears from it and tells it, see Use.
func New(cfg *config.Config, box *outbox.Box, form *records.Form, catalog *zone.Catalog, claim *claim.Claim) *Leader {
	return &Leader{cfg: cfg, box: box, form: form, catalog: catalog, claim: claim, jobs: map[string]*Job{}, teams: cfg.Cluster.TeamsByName(),
		weights: queue.Weights(cfg.Cluster.Teams), service: service{tally: served.New(config.FromSeconds(cfg.Settings.BeginWithinS))}}
}

// Use gives the leader the rooms that it commands and goes by.
func (l *Leader) Use(replica *records.Replica, owner *owner.Owner, keeper *fleet.Keeper) {
	l.replica, l.owner, l.keeper = replica, owner, keeper
	l.reset()
}

// Ready tells whether this node leads and has read the records since its claim.
func (l *Leader) Ready() bool { return l.ready }

// SetWall tells the time of day.
func (l *Leader) SetWall(wall Micros) {
	known := l.wallAhead != 0
	l.wallAhead = wall - l.box.Now()
	if !known { // what was read before has its age now
		for _, j := range l.active {
			l.arrivedBy(j)
		}
	}
	if l.service.since == 0 && l.replica.Revision() > 0 {
		l.service.since = wall // what comes from now on is known from its beginning
	}
}

// Won begins a reign. Nothing is commanded before the records have been read
// after the claim: only then are all placements of predecessors known.
func (l *Leader) Won() {
	l.reset()
	l.since = l.box.Now()
	l.takeovers++
	l.box.Log("leading", "token", l.claim.Token(), "times", l.takeovers)
	l.box.Emit(msg.Relist{})
}

// Lost ends a reign. The leader forgets what it needs no more; a later
// reign starts from the records.
func (l *Leader) Lost(why string, token uint64) {
	l.box.Log("no longer leading", "why", why, "token", token)
	l.reset()
	l.box.Emit(msg.Relist{})
}

// Wake has a pass come soon.
func (l *Leader) Wake() { l.passDue = true }

// CatalogChanged has everything looked at again by the new machine types.
func (l *Leader) CatalogChanged() {
	l.survey.whole = true
	for _, j := range l.active {
		j.types = typeSet{}
	}
	l.passDue = true
}

// Apply takes a change of a key that only leaders read, or of the records.
func (l *Leader) Apply(key string, ev *wire.Change) {
	if name, ok := strings.CutPrefix(key, hintPrefix); ok {
		l.hintsIn(name, ev)
		return
	}
	if num, ok := strings.CutPrefix(key, learntPrefix); ok {
		l.learntIn(num, ev)
		return
	}
	if strings.HasPrefix(key, standing.Prefix) {
		l.decisionsIn(ev)
		return
	}
	if strings.HasPrefix(key, home.MailPrefix) {
		l.mailIn(ev)
		return
	}
	l.take(ev)
}

// take takes a change of a job's record or of the log.
func (l *Leader) take(ev *wire.Change) {
	if _, err := l.replica.Apply(ev); err != nil {
		l.box.Log("unreadable", "error", err.Error())
	}
}

// Tick does what the leader does by time alone.
func (l *Leader) Tick() {
	l.wakeJobs()
	l.resendPlacements()
	l.writeHints()
	l.tidyEnded()
	l.count()
	l.tellServed()
	l.tellUse()
	l.keepLearnt()
	l.owner.Announce()
	l.owner.Probe()
	l.owner.Try()
	l.claim.RaiseIfWanted()
	l.keeper.Tick()
	if l.box.Now()-l.lastPass >= config.FromSeconds(l.cfg.Settings.ScanPeriodS) || l.passAt != 0 && l.box.Now() >= l.passAt {
		l.passDue = true
	}
}

// Settle does what follows from a step: it writes, passes and commands.
func (l *Leader) Settle() {
	l.flushJobs()
	l.writeEnded()
	if l.passDue && l.box.Now()-l.lastPass >= l.passInterval() {
		l.pass()
		l.flushJobs()
	}
	l.writePlacements()
	l.writeDecisions()
	l.refreshMachines()
	l.owner.SendUrgent()
}

// Read completes a takeover: all records as of a revision have been read.
func (l *Leader) Read(revision uint64) {
	if !l.claim.Held() || l.ready || revision < l.claim.Token() {
		return
	}
	l.ready = true
	open := 0
	ids := slices.Sorted(maps.Keys(l.jobs))
	for _, id := range ids {
		j := l.jobs[id]
		j.closes, j.plan, j.txn = nil, nil, nil
		var all []job.Placement
		j.EachOpen(func(p job.Placement) { all = append(all, p) })
		l.placed(j, nil, all)
		open += j.Open
		if j.Rec.Spec != nil && j.Rec.Spec.Shape == wire.Gang && j.Open > 0 && j.Open < j.Rec.Spec.Tasks {
			// Where the missing tasks were is not known any more, and an attempt
			// must not come to the same machine twice: the gang starts anew.
			j.deadGang = max(j.deadGang, j.Rec.Attempt)
		}
		if !j.Over() || len(j.Parts) > 0 {
			l.dirty[id] = true
		}
	}
	l.keeper.Begin()
	l.owner.Begin()
	for _, m := range l.owner.Roster().All() {
		l.watch(m)
	}
	l.startLearning()
	l.recallUse(ids)
	l.passDue = true
	l.box.Log("records read", "open_placements", open, "machines", l.owner.Roster().Len(), "after_ms", (l.box.Now()-l.since)/1000)
}

func (l *Leader) reset() {
	for _, j := range l.jobs {
		j.closes, j.plan, j.txn, j.reserved, j.mergeNow, j.moved, j.alone = nil, nil, nil, nil, false, nil, false
		j.surveyed, j.runs, j.like, j.drainSince, j.behind, j.kind = surveyed{}, runs{}, 0, 0, false, nil
	}
	l.ready = false
	looked := l.survey.lookedAt
	l.survey = newSurvey(l.cfg.Cluster.Zones)
	l.survey.lookedAt = looked
	l.owner.Reset()
	l.keeper.Reset()
	l.reigns++
	l.standIns, l.assured = map[string]standIn{}, 0
	l.writing, l.gathering, l.order = 0, gathering{}, order{kinds: map[string]*kind{}, claimed: map[string]queue.Amount{}}
	l.placing = newPlacing()
	l.ended = endedLog{writeAt: l.ended.writeAt, leaving: map[uint64]bool{}}
	l.resetDeciding()
	l.dirty, l.delayed = map[string]bool{}, map[string]bool{}
	l.usage = queue.NewUsage(config.FromSeconds(l.cfg.Settings.UsageWindowS))
	l.learning = learning{stored: l.learning.stored}
}

// Job is a job as this node knows it.
type Job struct {
	*records.Job

	// For the leader: what has been learnt or decided and is to be committed.
	active  bool
	created Micros // as it stands in the order of active jobs
	surveyed
	runs
	types    typeSet
	like     int    // the number of its likeness; 0: not reckoned yet
	likeAs   string // for this priority
	closes   []closing
	mergeNow bool              // to be written so that a page of the log can go
	left     map[string]uint64 // machines that an attempt of a gang has left
	plan     []job.Placement
	txn      *txn
	retryAt  Micros

	drainSince Micros // since when machines are kept for it as they become free
	behind     bool   // in the line for its team's guarantee, whatever its age
	counted    bool   // among those that have begun
	kind       *kind  // of its class; nil: not looked up yet

	account accounts.Key // whose use it is
	charged job.Use      // what it counts for there

	judged *served.Job // how it counts among what is served; nil: it doesn't, or not any more

	arrived    Micros // when this node first saw the job
	started    map[int]Micros
	deadGang   uint64 // gang attempts up to this one can't be completed
	gangRan    uint64 // highest gang attempt that ran
	failures   int
	failedOn   map[string]Micros
	holdUntil  Micros
	moved      map[int]Micros  // replicas that were moved lately
	preempted  Micros          // victims are leaving until then
	reserved   map[string]bool // machines that they leave
	cancelling bool
	tooLarge   bool // its record was once found too large to be written
	parting    bool // its tasks are to be moved out of its record
	alone      bool // its places go into its record: one transaction on pages has no room for all of it
}

// closing is a placement with proof that it is over.
type closing struct {
	key     job.Key
	machine string
	done    bool
	stay    job.Stay
	logging bool // on its way into the log of ended attempts
}

// setActive puts a job into the list of active ones or takes it out.
func (l *Leader) setActive(j *Job, active bool) {
	if active == j.active {
		return
	}
	if active {
		j.created = j.Rec.Created
	}
	i, _ := slices.BinarySearchFunc(l.active, j, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.created, b.created), cmp.Compare(a.ID, b.ID))
	})
	if j.active = active; active {
		l.active = slices.Insert(l.active, i, j)
	} else {
		l.active = slices.Delete(l.active, i, i+1)
	}
}

// outdatePlan drops a plan that was made for an older record. A transaction
// that had no answer may have placed the same tasks after all: placed once more
// they would run twice. What is in flight keeps its plan, for its places count.
func (l *Leader) outdatePlan(j *Job) {
	if j.txn == nil {
		l.setPlan(j, nil)
	}
}

// placed has the machines looked at on which something was placed or closed.
func (l *Leader) placed(j *Job, old, now []job.Placement) {
	for _, p := range old {
		if !slices.Contains(now, p) {
			delete(j.started, p.Task)
			delete(j.mine, p.Task)
		}
		if m := l.owner.Roster().Get(p.Machine); m != nil {
			l.touch(m)
		}
	}
	for _, p := range now {
		if m := l.owner.Roster().Get(p.Machine); m != nil {
			l.touch(m)
		}
	}
	if !l.ready {
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
		if m := l.owner.Roster().Get(p.Machine); m != nil {
			l.owner.Hurry(m)
		} else if l.keeper.Gone(p.Machine) {
			// Deleted while the transaction was under way: nobody else would
			// ever close the placement.
			l.close(p.Key(j.ID), p.Machine, false)
		}
	}
}

// revise has a pass and the writing of records look at a job.
func (l *Leader) revise(j *Job) {
	l.passDue = true
	if l.ready {
		l.dirty[j.ID] = true
	}
}

// What follows hears of the records.

// Born hears of a job that nothing was known of.
func (l *Leader) Born(r *records.Job) { l.jobs[r.ID] = &Job{Job: r, arrived: l.box.Now()} }

// Placed hears what is open of one part of a job.
func (l *Leader) Placed(r *records.Job, old, now []job.Placement) { l.placed(l.jobs[r.ID], old, now) }

// Stored hears that plans for a job are out of date.
func (l *Leader) Stored(r *records.Job) { l.outdatePlan(l.jobs[r.ID]) }

// Recorded hears of a newer record of a job.
func (l *Leader) Recorded(r *records.Job) {
	j := l.jobs[r.ID]
	l.setActive(j, r.Rec.Spec != nil)
	l.arrivedBy(j)
}

// arrivedBy takes the age of a job from its record.
func (l *Leader) arrivedBy(j *Job) {
	if j.Rec.Created > 0 && l.wallAhead > 0 && !j.NeedsOthers() {
		j.arrived = min(l.box.Now(), j.Rec.Created-l.wallAhead)
	}
}

// Ended hears that a job's phase is final.
func (l *Leader) Ended(r *records.Job) {
	if r.Rec.Spec == nil {
		j := l.jobs[r.ID]
		j.started, j.failedOn, j.closes, j.reserved = nil, nil, nil, nil
		j.runs = runs{}
		l.owner.OverAll(r.ID)
		l.setPlan(j, nil) // what is on its way fails by the record's version: its places are free
	}
}

// Changed hears that something about a job has changed.
func (l *Leader) Changed(r *records.Job) {
	j := l.jobs[r.ID]
	l.began(j)
	l.charge(j)
	l.countServed(j)
	l.changed(j)
	l.revise(j)
}

// Freed hears that a job waits for no other any more.
func (l *Leader) Freed(r *records.Job) {
	j := l.jobs[r.ID]
	j.arrived = l.box.Now() // its times count from now on
	l.changed(j)
	l.passDue = true
}

// Doomed hears that a job is as good as cancelled.
func (l *Leader) Doomed(r *records.Job) {
	l.changed(l.jobs[r.ID])
	if l.ready {
		l.dirty[r.ID] = true
	}
}
