package core

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"sort"

	"coralhub/internal/config"
	"coralhub/internal/core/home"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// machine returns a machine, made if need be.
func (c *Core) machine(name string) *zone.Machine {
	m := c.machines.Get(name)
	if m == nil {
		m = zone.New(name, "", "", "", false, c.now)
		c.machines.Add(m)
		if c.ready {
			c.survey.strange[m] = true
			c.touch(m)
		}
	}
	if m.Ambiguous == 0 && c.claim.Base() > 0 {
		m.Ambiguous = c.claim.Base() - 1 // predecessors' commands may be on their way
	}
	return m
}

// report answers a worker. Only an owner whose records are read may do so; a
// 200 from anybody else would hold the worker there while its lease runs out.
func (c *Core) report(x msg.ReportIn) {
	r := &x.Report
	if c.foreign {
		c.box.Later(x.Req, c.refusal())
		return
	}
	if !c.ready {
		if c.claim.Elsewhere() != "" && r.Machine != "" {
			c.home.Relay(x)
			return
		}
		c.box.Later(x.Req, "no leader")
		return
	}
	if r.Token > c.claim.Token() && !c.claim.Raising() {
		c.box.Answer(x.Req, http.StatusMisdirectedRequest, wire.Redirect{})
		c.claim.Resign("a worker has seen a higher token")
		return
	}
	if r.Machine == "" || r.Session == 0 {
		c.box.Answer(x.Req, http.StatusBadRequest, wire.Error{Error: "no machine or session"})
		return
	}
	if !x.Forwarded && c.home.SendHome(x) {
		return
	}
	m := c.machine(r.Machine)
	if !c.ingest(m, r, true) {
		c.box.Later(x.Req, "older than another report")
		return
	}
	orders := c.orders(m, true)
	for _, o := range orders {
		if o.Verb == wire.Start {
			m.SentByReply()
			break
		}
	}
	c.box.Answer(x.Req, http.StatusOK, wire.ReportAnswer{Token: c.claim.Token(), Orders: orders})
}

// ingest takes what a worker has told this node itself.
func (c *Core) ingest(m *zone.Machine, r *wire.Report, isReport bool) bool {
	if !c.learnOf(m, r, isReport) {
		return false
	}
	m.Mailed = false
	c.machines.Touch(m, c.now)
	c.reconsider(m)
	return true
}

// learnOf takes a worker's message, by whichever way it came, and draws the
// conclusions.
func (c *Core) learnOf(m *zone.Machine, r *wire.Report, isReport bool) bool {
	first := m.Session == 0
	if !m.Ingest(c.now, r, isReport) {
		return false
	}
	if first {
		c.touch(m)
		c.box.Log("worker joined", "machine", m.Name, "zone", m.Zone, "spot", m.Spot, "after_ms", (c.now-m.Rented)/1000)
		c.noteMachine(m.Name)
		c.passDue = true
	}
	expected := c.book.OpenOn(m.Name)
	for _, key := range sortedKeys(expected) {
		if expected[key].Session < m.Session {
			c.close(key, m.Name, false) // a later session: everything of the earlier one is gone
		}
	}
	if m.NoticeAt != 0 {
		c.drain(m)
	}
	for _, key := range sortedKeys(m.Tasks) {
		t := m.Tasks[key]
		j := c.jobs[key.Job]
		if j != nil && j.Rec.Spec != nil && t.State != wire.Fetching && t.State != wire.Exited {
			if image := j.Rec.Spec.Image; !m.Images[image] {
				m.Images[image] = true
				c.noteMachine(m.Name)
			}
		}
		p, ok := expected[key]
		if !ok || p.Session != m.Session {
			continue
		}
		switch t.State {
		case wire.Running:
			c.running(j, key)
		case wire.Exited:
			c.exited(m, j, key, &t)
		}
	}
	return true
}

// drain stops what can still save before the cloud takes the machine.
func (c *Core) drain(m *zone.Machine) {
	for _, key := range sortedKeys(c.book.OpenOn(m.Name)) {
		j := c.jobs[key.Job]
		if j == nil || j.Rec.Spec == nil || j.Rec.Spec.CheckpointS == 0 {
			continue
		}
		if left := m.NoticeAt - c.now; left > config.FromSeconds(j.Rec.Spec.SaveS) {
			c.stop(j, map[job.Key]bool{key: true}, "machine is taken back")
		}
	}
}

func (c *Core) running(j *Job, key job.Key) {
	if j.started == nil {
		j.started = map[int]Micros{}
	}
	if _, ok := j.started[key.Task]; !ok {
		j.started[key.Task] = c.now
		if spec := j.Rec.Spec; spec != nil && len(j.started) == spec.Tasks {
			c.box.Debug("all tasks run", "job", j.ID, "class", spec.Class, "age_ms", (c.now-j.arrived)/1000)
		}
	}
	if j.Rec.Spec != nil && j.Rec.Spec.Shape == wire.Gang {
		j.gangRan = max(j.gangRan, key.Attempt)
	}
}

// exited closes a placement whose task has ended, by the worker's word.
func (c *Core) exited(m *zone.Machine, j *Job, key job.Key, t *zone.Task) {
	if j.isClosing(key, m.Name) {
		return
	}
	c.passDue = true
	switch t.Cause {
	case wire.Done:
		if m.Absolves(j.started[key.Task]) {
			clear(m.Errors)
			c.reconsider(m)
		}
		j.failures = 0
	case wire.CauseError:
		c.failed(m, j)
	case wire.CauseNoRoom:
		m.FullUntil = c.now + config.Second
	case wire.CauseUnknown, wire.CauseBusy:
		j.holdUntil = c.now + 2*config.Second
	}
	if j.Rec.Spec != nil && j.Rec.Spec.Shape == wire.Gang && t.Cause != wire.CauseNoRoom && t.Cause != wire.CauseBusy {
		j.deadGang = max(j.deadGang, key.Attempt)
	}
	c.close(key, m.Name, t.Cause == wire.Done)
}

// sickJobs is after how many different jobs in a row failing on a machine the
// machine is held to be the cause.
const sickJobs = 2

// failed tells machines that fail everything from jobs that fail everywhere.
// The task is tried elsewhere first; a job that keeps failing waits longer and
// longer, and a machine on which different jobs fail gets no more work.
func (c *Core) failed(m *zone.Machine, j *Job) {
	wasSick := c.sick(m)
	if j.failures < 3 { // a job that fails everywhere says nothing about machines
		m.Errors[j.ID] = c.now
		c.reconsider(m)
	}
	if j.failedOn == nil {
		j.failedOn = map[string]Micros{}
	}
	j.failedOn[m.Name] = c.now + 120*config.Second
	if c.sick(m) {
		if !wasSick {
			c.box.Log("machine fails its tasks", "machine", m.Name)
		}
		return
	}
	j.failures++
	if j.failures > 2 {
		j.holdUntil = c.now + config.Second<<min(j.failures, 6)
		j.failedOn = nil
	}
}

func (c *Core) sick(m *zone.Machine) bool { return len(m.Errors) >= sickJobs }

func sortedKeys[V any](m map[job.Key]V) []job.Key {
	keys := make([]job.Key, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := keys[i], keys[j]
		if a.Job != b.Job {
			return a.Job < b.Job
		}
		if a.Task != b.Task {
			return a.Task < b.Task
		}
		return a.Attempt < b.Attempt
	})
	return keys
}

// orders lists everything a worker should do, given its newest message and the
// records. Forgetting is left to reports' answers: it is never urgent.
func (c *Core) orders(m *zone.Machine, reply bool) []wire.Order {
	orders := []wire.Order{}
	expected := c.book.OpenOn(m.Name)
	for _, key := range sortedKeys(m.Tasks) {
		t := m.Tasks[key]
		if t.State == wire.Exited {
			// After forgetting, a repeated start takes effect again: only when
			// the end is committed and no start can still be on its way.
			if _, open := expected[key]; !open && reply && m.Settled() {
				orders = append(orders, wire.Order{Verb: wire.Forget, Task: wire.TaskName(key.Job, key.Task), Attempt: key.Attempt})
			}
			continue
		}
		grace, stop := c.shouldStop(m, key, &t)
		if _, open := expected[key]; !open {
			grace, stop = 0, true // closed by mistake or never placed: never let it run
		}
		if stop {
			orders = append(orders, wire.Order{Verb: wire.Stop, Task: wire.TaskName(key.Job, key.Task), Attempt: key.Attempt, GraceS: &grace})
		}
	}
	for _, key := range sortedKeys(expected) {
		if _, seen := m.Tasks[key]; seen || expected[key].Session != m.Session {
			continue
		}
		if j := c.jobs[key.Job]; j != nil && j.isClosing(key, m.Name) {
			// Its end is proven and only not committed yet: a start now would run
			// beside the one that follows elsewhere.
			continue
		}
		if _, unwanted := c.shouldStop(m, key, nil); !unwanted {
			orders = append(orders, wire.Order{Verb: wire.Start, Task: wire.TaskName(key.Job, key.Task), Attempt: key.Attempt})
			continue
		}
		if m.Settled() {
			c.close(key, m.Name, false) // never started, and nothing can start it any more
		} else if reply && !m.DirectStart && m.Token <= m.Ambiguous {
			c.claim.WantRaise()
		}
	}
	return orders
}

// shouldStop tells whether a task is to be stopped, and with how much grace.
func (c *Core) shouldStop(m *zone.Machine, key job.Key, t *zone.Task) (float64, bool) {
	j := c.jobs[key.Job]
	if j == nil || j.Rec.Cancel || j.Rec.Final() && j.Rec.Phase == job.Cancelled {
		return 0, true
	}
	if s, ok := j.stops[key]; ok {
		overdue := s.since + config.FromSeconds(s.grace+c.cfg.Cluster.Workers.GangPeerS) + 10*config.Second
		if t != nil && c.now > overdue {
			return 0, true
		}
		return s.grace, true
	}
	if t != nil && j.Rec.Phase == job.Done && j.Rec.Spec != nil && j.Rec.Spec.Shape == wire.Gang {
		return 0, true
	}
	return 0, false
}

// stop asks for the end of tasks. All tasks of a gang are stopped together.
func (c *Core) stop(j *Job, only map[job.Key]bool, why string) {
	if j.Rec.Spec == nil {
		return
	}
	grace := 0.0
	if j.Rec.Spec.CheckpointS > 0 {
		grace = j.Rec.Spec.SaveS + 0.5
	}
	if j.stops == nil {
		j.stops = map[job.Key]stop{}
	}
	j.EachOpen(func(p job.Placement) {
		key := p.Key(j.ID)
		if _, had := j.stops[key]; had || only != nil && j.Rec.Spec.Shape != wire.Gang && !only[key] {
			return
		}
		j.stops[key] = stop{c.now, grace}
		if m := c.machines.Get(p.Machine); m != nil {
			c.hurry(m)
		}
	})
	c.box.Debug("stopping", "job", j.ID, "why", why)
}

const directPause = config.Second

// hurry notes that a machine has commands that should not wait.
func (c *Core) hurry(m *zone.Machine) {
	if !m.Urgent {
		m.Urgent = true
		c.urgent = append(c.urgent, m)
	}
}

// sendUrgent makes the direct calls that should not wait for a report.
func (c *Core) sendUrgent() {
	if c.claim.Raising() || len(c.urgent) == 0 {
		return
	}
	waiting := c.urgent
	c.urgent = nil
	for _, m := range waiting {
		if m.Releasing || c.machines.Get(m.Name) != m {
			m.Urgent = false
			continue
		}
		if m.Direct || m.Addr == "" || c.now < m.DirectAt {
			c.urgent = append(c.urgent, m)
			continue
		}
		m.Urgent = false
		if m.Session == 0 {
			continue
		}
		if orders := c.orders(m, false); len(orders) > 0 {
			c.direct(m, orders)
		}
	}
}

func (c *Core) direct(m *zone.Machine, orders []wire.Order) {
	start := false
	for _, o := range orders {
		start = start || o.Verb == wire.Start
	}
	id := c.box.NextID()
	m.SentDirect(c.now, id, c.claim.Token(), start)
	c.box.Emit(msg.Command{ID: id, Machine: m.Name, Addr: m.Addr, Commands: wire.Commands{Token: c.claim.Token(), Session: max(m.Session, 1), Orders: orders}})
}

func (c *Core) commandDone(x msg.CommandDone) {
	m := c.machines.Get(x.Machine)
	if !c.ready || m == nil {
		return
	}
	m.DirectOver(x.ID, x.Outcome == msg.Unknown)
	if x.Outcome != msg.OK {
		m.DirectAt = c.now + directPause
		m.Wanted = true // the orders have to go by the answer to a report
	}
	if r := x.Report; r != nil && r.Machine == m.Name {
		if r.Token > c.claim.Token() && !c.claim.Raising() {
			c.claim.Resign("a worker has seen a higher token")
			return
		}
		if c.ingest(m, r, false) && x.Outcome == msg.OK {
			return
		}
	}
}

// announce shows our token to machines that have not followed us yet. That
// frees workers that a cut-off predecessor still answers.
func (c *Core) announce() {
	for _, m := range slices.SortedFunc(maps.Keys(c.survey.strange), byName) {
		if m.Addr == "" || m.Direct || m.Releasing || m.Token >= c.claim.Base() || c.now < m.DirectAt {
			continue
		}
		m.DirectAt = c.now + 2*config.Second
		c.direct(m, nil)
	}
}

func byName(a, b *zone.Machine) int { return cmp.Compare(a.Name, b.Name) }

// probe calls workers that have been quiet: it may be only their reports that
// don't come through.
func (c *Core) probe() {
	c.machines.Silent(c.now-c.cfg.Silence()/2+1, func(m *zone.Machine) {
		if m.Session != 0 && m.Addr != "" && !m.Direct && !m.Releasing && c.now >= m.DirectAt {
			m.DirectAt = c.now + directPause
			c.direct(m, c.orders(m, false))
		}
	})
}

// beatIn hears, as the leader, of workers that their homes have answered. It
// answers with those whose next report it wants to see.
func (c *Core) beatIn(x msg.BeatIn) {
	if !c.ready {
		c.box.Later(x.Req, "not the leader")
		return
	}
	var wanted []string
	for _, h := range x.Heard {
		m := c.machines.Get(h.Machine)
		if m == nil || m.Session != h.Session || m.Token < c.claim.Base() || m.Wanted {
			wanted = append(wanted, h.Machine)
		}
		if m != nil && m.Beat(c.now, h.Session, h.Seq) {
			c.machines.Touch(m, c.now)
			c.reconsider(m)
		}
	}
	c.box.Answer(x.Req, http.StatusOK, wanted)
}

// mailIn takes a deputy's mail.
func (c *Core) mailIn(ev *wire.Change) {
	if !c.ready || ev.Put == "" || ev.Version <= c.claim.Base() {
		return
	}
	var lines []home.Line
	if job.Decode(ev.Value, &lines) != nil {
		return
	}
	for i := range lines {
		l := &lines[i]
		m := c.machines.Get(l.Machine)
		if m == nil || l.Token > c.claim.Token() {
			continue
		}
		if !m.Mailed {
			c.box.Debug("hearing of a worker by way of the state service", "machine", m.Name)
		}
		r := wire.Report{Machine: m.Name, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
			Session: l.Session, Seq: l.Seq, Token: l.Token, NoticeS: l.NoticeS}
		for _, t := range l.Tasks {
			r.Tasks = append(r.Tasks, wire.TaskReport{Task: t.Task, Attempt: t.Attempt, State: t.State, Cause: t.Cause, Saved: t.Saved})
		}
		if c.learnOf(m, &r, false) {
			m.Mailed = true
			c.machines.Introduce(m)
			c.reconsider(m)
		}
	}
}
