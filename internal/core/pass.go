package core

import (
	"maps"
	"slices"
	"sort"
	"strings"

	"coralhub/internal/config"
	"coralhub/internal/core/fleet"
	"coralhub/internal/core/job"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// scan is one pass over the queue.
type scan struct {
	rooms  []*zone.Room
	byName map[string]*zone.Room
	used   map[string]queue.Amount
	within map[string]bool // jobs within their team's guarantee
	failed []failure
	needs  []fleet.Need
	barred map[string]bool // zones kept for a job past the age cap
}

// failure is an entry of the negative cache: the same or a larger request
// fails until the pass ends.
type failure struct {
	zone  string
	needs zone.Res
	spot  bool
	types string
	level int
	count int
}

// pass ranks the pending jobs and places what it can. A job that finds no
// place waits; the next is tried.
func (c *Core) pass() {
	c.passDue, c.lastPass = false, c.now
	if c.catalog == nil || c.raising {
		return
	}
	s := c.survey()
	c.usage.Observe(c.now, s.used)
	entries := c.pending(s)
	queue.Rank(entries)
	for i := range entries {
		c.place(s, &entries[i])
	}
	c.rent(s)
}

func taskRes(s *wire.Job) zone.Res { return zone.Res{CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB} }

func taskAmount(s *wire.Job) queue.Amount { return queue.Amount{CPUs: s.CPUs, GPUs: s.GPUs} }

// survey adds up what is used and free. Everything open counts, whatever the
// workers last said of it, and so does what is being committed.
func (c *Core) survey() *scan {
	s := &scan{byName: map[string]*zone.Room{}, used: map[string]queue.Amount{},
		within: map[string]bool{}, barred: map[string]bool{}}
	suspect := config.FromSeconds(c.cfg.Cluster.Workers.ReportS*1.25) + 2*config.Second
	for _, name := range c.sortedMachines() {
		m := c.machines[name]
		t := c.catalog[m.Type]
		if t == nil || m.Session == 0 || m.Token < c.baseToken || m.Releasing || m.Failed || m.NoticeAt != 0 ||
			c.sick(m) || c.now-m.Spoke > suspect {
			continue
		}
		r := &zone.Room{Machine: m, Idle: len(c.expected[name]) == 0, Free: zone.Res{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}}
		s.rooms = append(s.rooms, r)
		s.byName[name] = r
	}
	c.guarantees(s)
	for _, id := range c.activeJobs() {
		j := c.jobs[id]
		spec := j.Rec.Spec
		needs := taskRes(spec)
		count := 0.0
		take := func(p job.Placement) {
			count++
			if r := s.byName[p.Machine]; r != nil {
				r.Free = r.Free.Plus(needs, -1)
			}
		}
		var gang *zone.Victim
		j.open(func(p job.Placement) {
			take(p)
			r := s.byName[p.Machine]
			key := p.Key(id)
			if _, stopping := j.stops[key]; stopping || r == nil || j.Rec.Final() || j.Rec.Cancel {
				return
			}
			since, ran := j.started[p.Task]
			if !ran {
				since = c.now
			}
			level := queue.Level(spec.Priority, s.within[id])
			if spec.Shape == wire.Gang {
				if gang == nil {
					gang = &zone.Victim{Job: id, Task: -1, Level: level, Since: since, Takes: map[string]zone.Res{}}
					if spec.CheckpointS == 0 {
						gang.Loss = c.now - since
					}
				}
				gang.Takes[p.Machine] = gang.Takes[p.Machine].Plus(needs, 1)
				return
			}
			loss := Micros(0)
			if spec.Shape == wire.Array && spec.CheckpointS == 0 {
				loss = c.now - since
			}
			r.Victims = append(r.Victims, zone.Victim{Job: id, Task: p.Task, Level: level, Since: since, Loss: loss,
				Takes: map[string]zone.Res{p.Machine: needs}})
		})
		if gang != nil {
			for _, r := range s.rooms {
				if _, ok := gang.Takes[r.Machine.Name]; ok {
					r.Victims = append(r.Victims, *gang)
				}
			}
		}
		for _, p := range j.plan {
			take(p)
		}
		s.used[spec.Team] = s.used[spec.Team].Plus(taskAmount(spec), count)
	}
	return s
}

// activeJobs lists the jobs that have anything left, by id.
func (c *Core) activeJobs() []string { return slices.Sorted(maps.Keys(c.active)) }

// guarantees marks the jobs that fit into their team's guarantee together with
// the team's earlier unfinished jobs.
func (c *Core) guarantees(s *scan) {
	ids := c.activeJobs()
	sort.SliceStable(ids, func(i, j int) bool { return c.jobs[ids[i]].Rec.Created < c.jobs[ids[j]].Rec.Created })
	sum := map[string]queue.Amount{}
	for _, id := range ids {
		j := c.jobs[id]
		spec := j.Rec.Spec
		team := c.teams[spec.Team]
		if j.Rec.Final() || team == nil {
			continue
		}
		if !queue.HasGuarantee(team) {
			s.within[id] = true
			continue
		}
		sum[spec.Team] = sum[spec.Team].Plus(taskAmount(spec), float64(spec.Tasks-j.doneCount()))
		s.within[id] = queue.UnderGuarantee(team, sum[spec.Team])
	}
}

// pending lists the jobs that want places.
func (c *Core) pending(s *scan) []queue.Entry {
	var out []queue.Entry
	for _, id := range c.activeJobs() {
		j := c.jobs[id]
		spec := j.Rec.Spec
		if j.Rec.Final() || j.Rec.Cancel || j.txn != nil || len(j.plan) > 0 || len(j.closes) > 0 || c.now < max(j.holdUntil, j.retryAt) || c.teams[spec.Team] == nil {
			continue
		}
		if j.doneCount()+j.openCount() >= spec.Tasks {
			continue
		}
		level := queue.Level(spec.Priority, s.within[id])
		out = append(out, queue.Entry{ID: id, Level: level, Created: j.Rec.Created,
			Credit: queue.Credit(&c.cfg.Settings, c.now-j.arrived, c.usage.Share(spec.Team))})
	}
	return out
}

// missing lists the tasks that have no place, at most as many as one
// transaction can hold.
func (c *Core) missing(j *Job) []int {
	most := job.PartTasks
	if j.Rec.Spec.Shape == wire.Gang {
		most = job.PartTasks * (c.cfg.Cluster.State.TxnOps - 1)
	}
	var out []int
	for n := range job.Parts(j.Rec.Spec.Tasks) {
		p, _ := j.part(n)
		first := n * job.PartTasks
		for _, i := range p.Missing(min(job.PartTasks, j.Rec.Spec.Tasks-first)) {
			if out = append(out, first+i); len(out) == most {
				return out
			}
		}
	}
	return out
}

// place finds machines for a job's missing tasks.
func (c *Core) place(s *scan, e *queue.Entry) {
	j := c.jobs[e.ID]
	spec := j.Rec.Spec
	tasks := c.missing(j)
	team := c.teams[spec.Team]
	gang := spec.Shape == wire.Gang
	attempt := j.Rec.Attempt + 1
	if gang && j.openCount() > 0 {
		// A gang that hasn't started takes a replacement under its number; one
		// that has, or that is going, starts again once all of it has left.
		if j.Rec.Attempt <= j.deadGang || j.Rec.Attempt <= j.gangRan || len(j.stops) > 0 {
			return
		}
		attempt = j.Rec.Attempt
	}
	for n := range tasks {
		if !queue.UnderLimit(team, s.used[spec.Team].Plus(taskAmount(spec), float64(n+1))) {
			if gang {
				return // waits for its team's limit
			}
			tasks = tasks[:n]
			break
		}
	}
	q := c.request(s, j, e)
	inZone := map[string]int{}
	j.open(func(p job.Placement) { inZone[p.Zone]++ })
	for len(tasks) > 0 {
		bid := c.auction(s, j, e, q, tasks, inZone)
		if bid == nil {
			break
		}
		if len(bid.Victims) > 0 {
			c.evict(s, j, bid)
			return
		}
		for i, name := range bid.Machines {
			r := s.byName[name]
			r.Free = r.Free.Plus(q.Needs, -1)
			r.Idle = false
			inZone[bid.Zone]++
			j.plan = append(j.plan, job.Placement{Task: tasks[i], Attempt: attempt, Machine: name,
				Session: r.Machine.Session, Zone: r.Machine.Zone})
		}
		c.debug("placing", "job", j.ID, "class", spec.Class, "tasks", len(bid.Machines), "warm", bid.Warm, "zone", bid.Zone,
			"age_ms", (c.now-j.arrived)/1000, "level", e.Level)
		s.used[spec.Team] = s.used[spec.Team].Plus(taskAmount(spec), float64(len(bid.Machines)))
		tasks = tasks[len(bid.Machines):]
		c.dirty[j.ID] = true
	}
	if len(tasks) == 0 {
		j.preempted, j.reserved = 0, nil
		return
	}
	s.needs = append(s.needs, fleet.Need{Task: q.Needs, Count: len(tasks), Types: q.Types, Zone: spec.Zone, Spot: spec.Spot})
	if c.now < j.preempted {
		for name := range j.reserved {
			if r := s.byName[name]; r != nil {
				r.Barred = true
			}
		}
	}
	if c.now-j.arrived > config.FromSeconds(c.cfg.Settings.AgeCapS) && len(s.barred) == 0 {
		if z := c.roomiest(s, spec); z != "" {
			s.barred[z] = true
		}
	}
}

func (c *Core) roomiest(s *scan, spec *wire.Job) string {
	best, most := "", -1.0
	for _, z := range c.cfg.Cluster.Zones {
		if spec.Zone != "" && spec.Zone != z {
			continue
		}
		free := 0.0
		for _, r := range s.rooms {
			if r.Machine.Zone == z {
				free += r.Free.Weight()
			}
		}
		if free > most {
			best, most = z, free
		}
	}
	return best
}

func (c *Core) request(s *scan, j *Job, e *queue.Entry) *zone.Request {
	spec := j.Rec.Spec
	q := &zone.Request{Job: j.ID, Needs: taskRes(spec), Whole: spec.Shape == wire.Gang, Spot: spec.Spot,
		Types: map[string]bool{}, Image: spec.Image, Avoid: j.failedOn}
	for name, t := range c.catalog {
		if fits(spec, t) && allowed(spec, t) {
			q.Types[name] = true
		}
	}
	if c.now < j.preempted {
		q.Keep = j.reserved
		return q
	}
	own := queue.Level(spec.Priority, true)
	q.May = func(v *zone.Victim) bool {
		victim := c.jobs[v.Job].Rec.Spec
		if victim.Team != spec.Team && !s.within[v.Job] && s.within[j.ID] && queue.HasGuarantee(c.teams[spec.Team]) {
			return true // what another team has borrowed
		}
		return queue.Level(victim.Priority, true) < own && v.Level < e.Level
	}
	return q
}

// auction asks every zone for a bid and returns the best.
func (c *Core) auction(s *scan, j *Job, e *queue.Entry, q *zone.Request, tasks []int, inZone map[string]int) *zone.Bid {
	spec := j.Rec.Spec
	var best *zone.Bid
	fewest := -1
	for _, z := range c.cfg.Cluster.Zones {
		if spec.Zone != "" && spec.Zone != z || s.barred[z] {
			continue
		}
		if spec.OneZone && len(inZone) > 0 && inZone[z] == 0 {
			continue
		}
		r := *q
		r.Count = len(tasks)
		if spec.Spread {
			r.Count = min(r.Count, (spec.Tasks+1)/2-inZone[z])
		}
		service := spec.Shape == wire.Service
		if service {
			r.Count = min(r.Count, 1)
		}
		if r.Count <= 0 || r.Whole && r.Count < len(tasks) && spec.OneZone {
			continue
		}
		if c.cached(s, z, &r, e.Level) {
			continue
		}
		bid := zone.Plan(c.now, z, s.rooms, &r)
		if bid == nil {
			s.failed = append(s.failed, failure{z, r.Needs, r.Spot, typeNames(r.Types), e.Level, need(&r)})
			continue
		}
		if service && (best == nil || len(bid.Victims) <= len(best.Victims)) && (fewest < 0 || inZone[z] < fewest) ||
			(!service || inZone[z] == fewest) && bid.Better(best) {
			best, fewest = bid, inZone[z]
		}
	}
	if best == nil && q.Whole && !spec.OneZone && len(c.cfg.Cluster.Zones) > 1 {
		return c.acrossZones(s, spec, q, tasks, inZone)
	}
	return best
}

// acrossZones places a gang that fits no zone alone but may be split.
func (c *Core) acrossZones(s *scan, spec *wire.Job, q *zone.Request, tasks []int, inZone map[string]int) *zone.Bid {
	whole := &zone.Bid{}
	for _, z := range c.cfg.Cluster.Zones {
		if spec.Zone != "" && spec.Zone != z || s.barred[z] {
			continue
		}
		r := *q
		r.Whole, r.May = false, nil
		r.Count = len(tasks) - len(whole.Machines)
		if spec.Spread {
			r.Count = min(r.Count, (spec.Tasks+1)/2-inZone[z])
		}
		if r.Count <= 0 {
			continue
		}
		if bid := zone.Plan(c.now, z, s.rooms, &r); bid != nil {
			whole.Machines = append(whole.Machines, bid.Machines...)
		}
	}
	if len(whole.Machines) < len(tasks) {
		return nil
	}
	return whole
}

func need(q *zone.Request) int {
	if q.Whole {
		return q.Count
	}
	return 1
}

// cached looks into the negative cache.
func (c *Core) cached(s *scan, z string, q *zone.Request, level int) bool {
	if len(q.Keep) > 0 {
		return false
	}
	types := typeNames(q.Types)
	for i := range s.failed {
		f := &s.failed[i]
		if f.zone == z && f.needs.Fits(q.Needs) && (f.spot || !q.Spot) && f.types == types &&
			f.level == level && f.count <= need(q) {
			return true
		}
	}
	return false
}

func typeNames(types map[string]bool) string {
	return strings.Join(slices.Sorted(maps.Keys(types)), " ")
}

// evict stops a bid's victims and keeps their machines for the job.
func (c *Core) evict(s *scan, j *Job, bid *zone.Bid) {
	j.reserved = map[string]bool{}
	for _, name := range bid.Machines {
		j.reserved[name] = true
	}
	wait := 5 * config.Second
	for i := range bid.Victims {
		v := &bid.Victims[i]
		victim := c.jobs[v.Job]
		only := map[job.Key]bool{}
		victim.open(func(p job.Placement) {
			if p.Task == v.Task {
				only[p.Key(v.Job)] = true
			}
		})
		c.stop(victim, only, "preempted by "+j.ID)
		wait = max(wait, config.FromSeconds(victim.Rec.Spec.SaveS)+6*config.Second)
		for _, r := range s.rooms {
			left := r.Victims[:0]
			for _, o := range r.Victims {
				if o.Job != v.Job || o.Task != v.Task {
					left = append(left, o)
				}
			}
			r.Victims = left
		}
	}
	j.preempted = c.now + wait
	for name := range j.reserved {
		s.byName[name].Barred = true
	}
}

// rent asks for the machines that the unplaced work calls for.
func (c *Core) rent(s *scan) {
	if c.inDoubt() {
		return
	}
	booting, count := c.kinds()
	types := make([]*wire.MachineType, 0, len(c.catalog))
	for _, name := range slices.Sorted(maps.Keys(c.catalog)) {
		types = append(types, c.catalog[name])
	}
	rent := c.fleet.Plan(c.now, s.needs, booting, count, types)
	c.fleet.Ask(c.token, rent)
	for _, r := range c.fleet.Due(c.now) {
		c.emit(Rent{r})
	}
}
