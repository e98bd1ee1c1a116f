package core

import (
	"hash/fnv"
	"maps"
	"net/http"
	"slices"
	"sort"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/wire"
)

const mailPrefix = job.Root + "mail/"

// deputy serves workers on behalf of a leader elsewhere.
//
// A worker's home is a node in its own zone, which hands its reports to the
// leader and the answers back. If the leader can't be reached, as in a cut
// between zones, the home stands in for it: it answers with the leader's
// token, once a transaction has confirmed that the claim still stands and that
// its copy of the records of the jobs on the worker is current, or if the state
// service doesn't answer, for a short while without (recent). It stops what
// is cancelled, and starts and forgets nothing: conclusions about starts are
// drawn by the leader alone. The report itself goes to the leader by way of
// the state service, in the same transaction.
type deputy struct {
	location map[string]string // of every node
	heard    map[string]Micros // when a peer was last heard
	mailed   map[string]mailed
	visits   map[string]visit
	// A moment as of which this node's copy of all records was current.
	currentAt Micros
}

// visit remembers a worker that was sent to its home.
type visit struct {
	sent      Micros
	stayUntil Micros // it came back: its home is out of its reach
}

type mailed struct {
	at    Micros
	tasks string
}

// unheard is after how long without a word from the leader a node stands in.
const unheard = 2500 * 1000

// mailEvery is how often an unchanged report is passed on.
const mailEvery = 3 * config.Second

// stay is how long a worker that can't reach its home is served elsewhere.
const stay = 20 * config.Second

func (c *Core) peerHeard(x PeerHeard) { c.heard[x.Node] = c.now }

// alive tells whether a node has been heard lately.
func (c *Core) alive(node string) bool {
	return node == c.cfg.Node || c.now-c.heard[node] <= unheard
}

// home picks the node that a worker should report to: the leader if it is in
// the worker's zone, or else some node there; "" if none is heard.
func (c *Core) home(r *wire.Report) string {
	if c.location[c.leader.node] == r.Zone && c.alive(c.leader.node) {
		return c.leader.node
	}
	var there []string
	for node, loc := range c.location {
		if loc == r.Zone && c.alive(node) {
			there = append(there, node)
		}
	}
	if len(there) == 0 {
		return ""
	}
	sort.Strings(there)
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.Machine))
	return there[int(h.Sum32()%uint32(len(there)))]
}

// sendHome redirects a worker to its home, unless it is there or has just come
// back from a home that it can't reach.
func (c *Core) sendHome(x ReportIn) bool {
	home := c.home(&x.Report)
	if home == "" || home == c.cfg.Node {
		return false
	}
	v := c.visits[x.Report.Machine]
	if c.now < v.stayUntil {
		return false
	}
	if v.sent != 0 && c.now-v.sent < 3*unheard {
		c.visits[x.Report.Machine] = visit{stayUntil: c.now + stay}
		return false
	}
	c.visits[x.Report.Machine] = visit{sent: c.now}
	c.answer(x.Req, http.StatusMisdirectedRequest, wire.Redirect{Node: home})
	return true
}

// maxRemembered bounds what is remembered of workers, most of them long gone.
const maxRemembered = 1000

func (c *Core) forgetWorkers() {
	if len(c.visits) > maxRemembered {
		clear(c.visits)
	}
	if len(c.mailed) > maxRemembered {
		clear(c.mailed)
	}
}

// forwardDone passes on the leader's answer, or stands in for it.
func (c *Core) forwardDone(x ForwardDone) {
	if x.Answer != nil {
		c.answer(x.Req, http.StatusOK, *x.Answer)
		return
	}
	if c.leading || c.leader.node == "" || c.leader.node == c.cfg.Node || x.Report.Token > c.leader.version {
		c.later(x.Req, "no leader")
		return
	}
	c.standIn(ReportIn{Req: x.Req, Report: x.Report})
}

// standIn answers a report in the leader's place.
func (c *Core) standIn(x ReportIn) {
	r := x.Report
	guards := []wire.Guard{{Key: leaderKey, Version: c.leader.version}}
	ids := map[string]bool{}
	for _, t := range r.Tasks {
		if id, _, ok := wire.ParseTaskName(t.Task); ok && t.State != wire.Exited {
			ids[id] = true
		}
	}
	names := slices.Sorted(maps.Keys(ids))
	for _, id := range names {
		j := c.jobs[id]
		if j == nil || len(guards) == wire.GuardFactor*c.cfg.Cluster.State.TxnOps {
			c.later(x.Req, "not the leader")
			return
		}
		if j.Rec.Spec != nil {
			guards = append(guards, wire.Guard{Key: job.RecordKey(id), Version: j.Version})
		}
	}
	token := c.leader.version
	c.commit(wire.Commit{Guards: guards, Changes: c.mail(&r)}, func(d CommitDone) {
		if d.Outcome != OK && !c.recent(d.Outcome) || c.leading || c.leader.version != token {
			c.later(x.Req, "not the leader")
			return
		}
		orders := []wire.Order{}
		for _, t := range r.Tasks {
			id, _, ok := wire.ParseTaskName(t.Task)
			if j := c.jobs[id]; ok && j != nil && t.State != wire.Exited && (j.Rec.Cancel || j.Rec.Phase == job.Cancelled) {
				grace := 0.0
				orders = append(orders, wire.Order{Verb: wire.Stop, Task: t.Task, Attempt: t.Attempt, GraceS: &grace})
			}
		}
		c.answer(x.Req, http.StatusOK, wire.ReportAnswer{Token: token, Orders: orders})
	})
}

// recent tells whether a node may stand in though the state service doesn't
// answer, as in an outage in which the leader ends. What it doesn't know may be
// that a job was cancelled and its user told so, after its copy was current. So
// it stops answering early enough for the lease of such a worker to end within
// the time that a cancellation has.
func (c *Core) recent(o Outcome) bool {
	w := &c.cfg.Cluster.Workers
	most := config.FromSeconds(w.CancelS-w.LeaseS) - 4*config.Second
	return (o == Refused || o == Unknown) && c.now-c.currentAt < most
}

// mail is the change that passes a report on, none if it says nothing new.
func (c *Core) mail(r *wire.Report) []wire.Change {
	tasks := ""
	for _, t := range r.Tasks {
		tasks += t.Task + t.State + t.Cause + " "
	}
	if last := c.mailed[r.Machine]; last.tasks == tasks && c.now-last.at < mailEvery {
		return nil
	}
	value, err := job.Encode(r)
	if err != nil || wire.JSONSize(value) > c.valueLimit() || len(mailPrefix+r.Machine) > 200 {
		return nil
	}
	c.mailed[r.Machine] = mailed{c.now, tasks}
	return []wire.Change{{Put: mailPrefix + r.Machine, Value: value}}
}

// mailIn takes a report that a deputy has passed on.
func (c *Core) mailIn(name string, ev *wire.Change) {
	if !c.ready || ev.Put == "" || ev.Version <= c.baseToken {
		return
	}
	var r wire.Report
	m := c.machines.Get(name)
	if err := job.Decode(ev.Value, &r); err != nil || r.Machine != name || m == nil || r.Token > c.token {
		return
	}
	if !m.Mailed {
		c.log("hearing of a worker by way of the state service", "machine", name)
	}
	spoke := m.Spoke
	c.ingest(m, &r, false)
	m.Spoke, m.Mailed = spoke, true
}
