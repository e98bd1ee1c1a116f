// Package owner commands the workers of the machines that a node owns: it hears what they
// say, tells them what the records ask of them, and proves what is over. It starts nothing
// that isn't committed, and calls nothing over without proof.
package owner

import (
	"maps"
	"net/http"
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/claim"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/records"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// Micros is a time or a duration in whole microseconds.
type Micros = config.Micros

const directPause = config.Second

// Leader is who has the records written, and hears what is news to it.
type Leader interface {
	Joined(*zone.Machine)                              // its worker has said its first word
	Looks(*zone.Machine)                               // something about it has changed
	MayOffer(*zone.Machine)                            // what it can offer at all may have changed
	Cached(*zone.Machine)                              // it is believed to have other images from now on
	CacheGB(*zone.Machine) float64                     // how much of images it keeps; 0: not known
	Running(key job.Key)                               // a task runs
	Exited(m *zone.Machine, key job.Key, t *zone.Task) // a task has ended, by its worker's word
	Close(key job.Key, machine string, done bool)      // proof that a placement is over
	Closing(key job.Key, machine string) bool          // whether that was proven before
}

type stop struct {
	since Micros
	grace float64
}

// Owner is one node's.
type Owner struct {
	cfg     *config.Config
	box     *outbox.Box
	replica *records.Replica
	claim   *claim.Claim // by whose token it commands
	to      Leader

	ready   bool // the records have been read since the claim
	roster  *zone.Roster
	strange map[*zone.Machine]bool      // those that have not followed this token yet
	deaf    map[*zone.Machine]bool      // those that seem not to get what they are sent
	urgent  []*zone.Machine             // those with commands that should not wait
	stops   map[string]map[job.Key]stop // by job: what is to end
}

// New returns an owner of nothing.
func New(cfg *config.Config, box *outbox.Box, replica *records.Replica, claim *claim.Claim, to Leader) *Owner {
	o := &Owner{cfg: cfg, box: box, replica: replica, claim: claim, to: to}
	o.Reset()
	return o
}

// Reset forgets what is only of use under one claim. Addresses and images stay true.
func (o *Owner) Reset() {
	old := o.roster
	o.ready, o.roster = false, zone.NewRoster()
	o.strange, o.urgent, o.stops = map[*zone.Machine]bool{}, nil, map[string]map[job.Key]stop{}
	o.deaf = map[*zone.Machine]bool{}
	if old == nil {
		return
	}
	for _, m := range old.All() {
		fresh := zone.New(m.Name, m.Addr, m.Type, m.Zone, m.Spot, m.Rented)
		fresh.Cache = m.Cache
		o.roster.Add(fresh)
	}
}

// Begin begins to command: the records have been read since the claim.
func (o *Owner) Begin() {
	o.ready = true
	for _, name := range o.replica.Used() {
		o.Machine(name)
	}
	for _, m := range o.roster.All() {
		o.strange[m] = true
	}
}

// Roster lists the machines.
func (o *Owner) Roster() *zone.Roster { return o.roster }

// Stopping tells whether a task is to end.
func (o *Owner) Stopping(key job.Key) bool {
	_, ok := o.stops[key.Job][key]
	return ok
}

// StopsAny tells whether any task of a job is to end.
func (o *Owner) StopsAny(id string) bool { return len(o.stops[id]) > 0 }

// Over forgets that a task is to end: it has.
func (o *Owner) Over(key job.Key) {
	if delete(o.stops[key.Job], key); len(o.stops[key.Job]) == 0 {
		delete(o.stops, key.Job)
	}
}

// OverAll does so for a whole job.
func (o *Owner) OverAll(id string) { delete(o.stops, id) }

// Machine returns a machine, made if need be.
func (o *Owner) Machine(name string) *zone.Machine {
	m := o.roster.Get(name)
	if m == nil {
		m = zone.New(name, "", "", "", false, o.box.Now())
		o.roster.Add(m)
		if o.ready {
			o.strange[m] = true
			o.to.Looks(m)
		}
	}
	if m.Ambiguous == 0 && o.claim.Base() > 0 {
		m.Ambiguous = o.claim.Base() - 1 // predecessors' commands may be on their way
	}
	return m
}

// Report takes a worker's report and answers it.
func (o *Owner) Report(x msg.ReportIn) {
	r := &x.Report
	m := o.Machine(r.Machine)
	if !o.ingest(m, r, true) {
		o.box.Later(x.Req, "older than another report")
		return
	}
	orders := o.orders(m, true)
	o.followed(m, orders)
	if starts(orders) {
		m.SentByReply(orders)
	}
	m.Hearing.Answered(o.box.Now())
	o.box.Answer(x.Req, http.StatusOK, wire.ReportAnswer{Token: o.claim.Token(), Orders: orders})
}

// ingest takes what a worker has told this node itself.
func (o *Owner) ingest(m *zone.Machine, r *wire.Report, isReport bool) bool {
	if !o.Hear(m, r, isReport) {
		return false
	}
	m.Mailed = false
	o.roster.Touch(m, o.box.Now())
	o.to.MayOffer(m)
	return true
}

// Hear takes a worker's message, by whichever way it came, and draws the
// conclusions.
func (o *Owner) Hear(m *zone.Machine, r *wire.Report, isReport bool) bool {
	first, session, token, had, mute := m.Session == 0, m.Session, m.Token, m.Tasks, m.Mute
	if !m.Ingest(o.box.Now(), r, isReport) {
		return false
	}
	if (m.Mute != 0) != (mute != 0) {
		o.to.Looks(m)
	}
	if !first && m.Session > session && m.Hearing.LeaseEnded(o.box.Now(), config.FromSeconds(o.cfg.Cluster.Workers.LeaseS)) {
		o.seemsDeaf(m, "its lease has ended though its reports were answered")
	}
	if first {
		o.box.Log("worker joined", "machine", m.Name, "zone", m.Zone, "spot", m.Spot, "after_ms", (o.box.Now()-m.Rented)/1000)
		o.to.Joined(m)
	}
	expected := o.replica.OpenOn(m.Name)
	for _, key := range job.SortedKeys(expected) {
		switch p := expected[key]; {
		case p.Session < m.Session:
			o.to.Close(key, m.Name, false) // a later session: everything of the earlier one is gone
		case p.Session > m.Session && m.Token >= o.claim.Base() && !m.SessionReset:
			// Whoever placed it had heard of that session, and this was sent after our
			// claim. A worker that counts from the start again may be about to do things that
			// it was told before; only its deletion proves anything.
			m.SessionReset = true
			o.box.Log("worker has begun anew", "machine", m.Name, "session", m.Session, "placed_in", p.Session)
			o.to.Looks(m)
		}
	}
	if m.NoticeAt != 0 {
		o.drain(m)
	}
	if !first && m.Token > token {
		o.hears(m)
	}
	images := map[string]float64{}
	for _, key := range job.SortedKeys(m.Tasks) {
		t := m.Tasks[key]
		if j := o.replica.Job(key.Job); j != nil && j.Rec.Spec != nil && t.State != wire.Fetching && t.State != wire.Exited {
			images[j.Rec.Spec.Image] = j.Rec.Spec.ImageGB
		}
		p, ok := expected[key]
		if !ok || p.Session != m.Session {
			continue
		}
		if _, known := had[key]; !known && !first && m.Session == session {
			o.hears(m) // it has carried out a start
		}
		switch t.State {
		case wire.Running:
			o.to.Running(key)
		case wire.Exited:
			o.to.Exited(m, key, &t)
		}
	}
	if m.Cache.Use(o.to.CacheGB(m), images) {
		o.to.Cached(m)
	}
	return true
}

// drain stops what can still save before the cloud takes the machine.
func (o *Owner) drain(m *zone.Machine) {
	for _, key := range job.SortedKeys(o.replica.OpenOn(m.Name)) {
		j := o.replica.Job(key.Job)
		if j == nil || j.Rec.Spec == nil || j.Rec.Spec.CheckpointS == 0 {
			continue
		}
		if left := m.NoticeAt - o.box.Now(); left > config.FromSeconds(j.Rec.Spec.SaveS) {
			o.Stop(j, map[job.Key]bool{key: true}, "machine is taken back")
		}
	}
}

// orders lists everything a worker should do, given its newest message and the
// records. Forgetting is left to reports' answers: it is never urgent.
func (o *Owner) orders(m *zone.Machine, reply bool) []wire.Order {
	orders := []wire.Order{}
	expected := o.replica.OpenOn(m.Name)
	for _, key := range job.SortedKeys(m.Tasks) {
		t := m.Tasks[key]
		if t.State == wire.Exited {
			// After forgetting, a repeated start takes effect again: only when
			// the end is committed and no start can still be on its way.
			if _, open := expected[key]; !open && reply && m.Settled() {
				orders = append(orders, wire.Order{Verb: wire.Forget, Task: wire.TaskName(key.Job, key.Task), Attempt: key.Attempt})
			}
			continue
		}
		grace, stop := o.shouldStop(m, key, &t)
		if _, open := expected[key]; !open {
			grace, stop = 0, true // closed by mistake or never placed: never let it run
		}
		if stop {
			orders = append(orders, wire.Order{Verb: wire.Stop, Task: wire.TaskName(key.Job, key.Task), Attempt: key.Attempt, GraceS: &grace})
		}
	}
	for _, key := range job.SortedKeys(expected) {
		if _, seen := m.Tasks[key]; seen || expected[key].Session != m.Session {
			continue
		}
		if j := o.replica.Job(key.Job); j != nil && o.to.Closing(key, m.Name) {
			// Its end is proven and only not committed yet: a start now would run
			// beside the one that follows elsewhere.
			continue
		}
		if _, unwanted := o.shouldStop(m, key, nil); !unwanted {
			orders = append(orders, wire.Order{Verb: wire.Start, Task: wire.TaskName(key.Job, key.Task), Attempt: key.Attempt})
			continue
		}
		if m.Settled() {
			o.to.Close(key, m.Name, false) // never started, and nothing can start it any more
		} else if reply && !m.DirectStart && m.Unsure() {
			o.claim.WantRaise()
		}
	}
	return orders
}

// shouldStop tells whether a task is to be stopped, and with how much grace.
func (o *Owner) shouldStop(m *zone.Machine, key job.Key, t *zone.Task) (float64, bool) {
	j := o.replica.Job(key.Job)
	if j == nil || j.Rec.Cancel || j.Rec.Final() && j.Rec.Phase == job.Cancelled {
		return 0, true
	}
	if s, ok := o.stops[j.ID][key]; ok {
		overdue := s.since + config.FromSeconds(s.grace+o.cfg.Cluster.Workers.GangPeerS) + 10*config.Second
		if t != nil && o.box.Now() > overdue {
			return 0, true
		}
		return s.grace, true
	}
	if t != nil && j.Rec.Phase == job.Done && j.Rec.Spec != nil && j.Rec.Spec.Shape == wire.Gang {
		return 0, true
	}
	return 0, false
}

// Stop asks for the end of tasks. All tasks of a gang are stopped together.
func (o *Owner) Stop(j *records.Job, only map[job.Key]bool, why string) {
	if j.Rec.Spec == nil {
		return
	}
	grace := 0.0
	if j.Rec.Spec.CheckpointS > 0 {
		grace = j.Rec.Spec.SaveS + 0.5
	}
	if o.stops[j.ID] == nil {
		o.stops[j.ID] = map[job.Key]stop{}
	}
	j.EachOpen(func(p job.Placement) {
		key := p.Key(j.ID)
		if _, had := o.stops[j.ID][key]; had || only != nil && j.Rec.Spec.Shape != wire.Gang && !only[key] {
			return
		}
		o.stops[j.ID][key] = stop{o.box.Now(), grace}
		if m := o.roster.Get(p.Machine); m != nil {
			o.Hurry(m)
		}
	})
	o.box.Debug("stopping", "job", j.ID, "why", why)
}

// Hurry notes that a machine has commands that should not wait.
func (o *Owner) Hurry(m *zone.Machine) {
	if !m.Urgent {
		m.Urgent = true
		o.urgent = append(o.urgent, m)
	}
}

// SendUrgent makes the direct calls that should not wait for a report.
func (o *Owner) SendUrgent() {
	if o.claim.Raising() || len(o.urgent) == 0 {
		return
	}
	waiting := o.urgent
	o.urgent = nil
	for _, m := range waiting {
		if m.Releasing || o.roster.Get(m.Name) != m {
			m.Urgent = false
			continue
		}
		if m.Direct || m.Addr == "" || o.box.Now() < m.DirectAt {
			o.urgent = append(o.urgent, m)
			continue
		}
		m.Urgent = false
		if m.Session == 0 {
			continue
		}
		if orders := o.orders(m, false); len(orders) > 0 {
			o.direct(m, orders)
		}
	}
}

// starts tells whether any order is a start.
func starts(orders []wire.Order) bool {
	return slices.ContainsFunc(orders, func(x wire.Order) bool { return x.Verb == wire.Start })
}

func (o *Owner) direct(m *zone.Machine, orders []wire.Order) {
	id := o.box.NextID()
	m.SentDirect(o.box.Now(), id, o.claim.Token(), starts(orders))
	o.box.Emit(msg.Command{ID: id, Machine: m.Name, Addr: m.Addr, Commands: wire.Commands{Token: o.claim.Token(), Session: max(m.Session, 1), Orders: orders}})
}

// CommandDone hears how a direct call went.
func (o *Owner) CommandDone(x msg.CommandDone) {
	m := o.roster.Get(x.Machine)
	if !o.ready || m == nil {
		return
	}
	m.DirectOver(x.ID, x.Outcome == msg.Unknown)
	if x.Outcome != msg.OK {
		m.DirectAt = o.box.Now() + directPause
		m.Wanted = true // the orders have to go by the answer to a report
	}
	if r := x.Report; r != nil && r.Machine == m.Name {
		o.hears(m)
		if r.Token > o.claim.Token() && !o.claim.Raising() {
			o.claim.Resign("a worker has seen a higher token")
			return
		}
		o.ingest(m, r, false)
	}
}

// Announce shows our token to machines that have not followed us yet. That
// frees workers that a cut-off predecessor still answers.
func (o *Owner) Announce() {
	for _, m := range slices.SortedFunc(maps.Keys(o.strange), zone.ByName) {
		if m.Token >= o.claim.Base() || !m.Known() {
			delete(o.strange, m)
			continue
		}
		if m.Addr == "" || m.Direct || m.Releasing || o.box.Now() < m.DirectAt {
			continue
		}
		m.DirectAt = o.box.Now() + 2*config.Second
		o.direct(m, nil)
	}
}

// followed holds what a worker is told now against what the answer before told it: a start that is
// still to be made has not been carried out.
func (o *Owner) followed(m *zone.Machine, orders []wire.Order) {
	if m.ReplySeq == 0 {
		return
	}
	all := !slices.ContainsFunc(orders, func(x wire.Order) bool { return x.Verb == wire.Start && m.Asked[x.Task] == x.Attempt })
	if m.Hearing.Followed(o.box.Now(), all) {
		o.seemsDeaf(m, "it doesn't carry out what it is told")
	}
}

// seemsDeaf has a machine given no more work, and tried whether it hears.
func (o *Owner) seemsDeaf(m *zone.Machine, why string) {
	o.box.Log("machine seems not to hear", "machine", m.Name, "why", why, "times", m.Hearing.Times)
	o.deaf[m] = true
	o.to.Looks(m)
}

// hears notes that something sent to a worker has reached it.
func (o *Owner) hears(m *zone.Machine) {
	if m.Hearing.Hears(o.box.Now()) {
		o.box.Log("machine hears again", "machine", m.Name)
		delete(o.deaf, m)
		o.to.Looks(m)
	}
}

// Try calls the workers that seem deaf, now and then, with nothing to do.
func (o *Owner) Try() {
	for _, m := range slices.SortedFunc(maps.Keys(o.deaf), zone.ByName) {
		if !m.Known() {
			delete(o.deaf, m)
			continue
		}
		if m.Addr != "" && !m.Direct && !m.Releasing && m.Hearing.Try(o.box.Now()) {
			o.direct(m, nil)
		}
	}
}

// Probe calls workers that have been quiet: it may be only their reports that
// don't come through.
func (o *Owner) Probe() {
	o.roster.Silent(o.box.Now()-o.cfg.Silence()/2+1, func(m *zone.Machine) {
		if m.Session != 0 && m.Addr != "" && !m.Direct && !m.Releasing && o.box.Now() >= m.DirectAt {
			m.DirectAt = o.box.Now() + directPause
			o.direct(m, o.orders(m, false))
		}
	})
}
