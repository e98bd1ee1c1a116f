package core

import (
	"hash/fnv"
	"maps"
	"net/http"
	"slices"
	"sort"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

const mailPrefix = job.Root + "mail/"

// deputy serves workers on behalf of a leader elsewhere.
//
// A worker's home is a node in its own zone. A report that tells the leader
// something, or to which the leader may have something to say, is handed on. One
// that repeats what the leader has taken, while the records ask nothing of the
// worker, is answered by the home; the leader hears of those workers many at a
// time (beats). If the leader can't be reached, as in a cut between zones, the
// home stands in for it and sends what it hears by way of the state service.
//
// Both go by this node's copy of the records. A home stops what is cancelled, and
// starts and forgets nothing: conclusions about starts are drawn by the leader
// alone. See fresh for how old the copy may be.
type deputy struct {
	location map[string]string // of every node
	heard    map[string]Micros // when a peer was last heard
	visits   map[string]visit
	// A moment as of which this node's copy of all records was current.
	currentAt Micros

	taken  map[string]taken // by machine
	beats  []msg.Heard      // workers answered for the leader since the last beat
	beatAt Micros

	mailbox map[string]mailLine // for the leader, by way of the state service
	mailed  map[string]mailLine // what was sent last
	mailOut bool
	mailAt  Micros
}

// taken is a report that a leader has taken with nothing to say to it.
type taken struct {
	leader  uint64 // version of its claim
	session uint64
	at      Micros
	tasks   []wire.TaskReport
}

// visit remembers a worker that was sent to its home.
type visit struct {
	sent      Micros
	stayUntil Micros // it came back: its home is out of its reach
}

// mailLine is a report in the leader's mail.
type mailLine struct {
	//lint:ignore U1000 read by the encoder: a line is a list, to be short
	_msgpack struct{} `msgpack:",as_array"`
	Machine  string
	Session  uint64
	Seq      uint64
	Token    uint64
	NoticeS  *float64
	Tasks    []mailTask
	at       Micros
}

type mailTask struct {
	//lint:ignore U1000 read by the encoder
	_msgpack struct{} `msgpack:",as_array"`
	Task     string
	Attempt  uint64
	State    string
	Cause    string
	Saved    bool
}

// unheard is after how long without a word from the leader a node stands in.
const unheard = 2500 * 1000

// mailShare is the part of all changes that one node's mail may take.
const mailShare = 0.1

// beatEvery is how often the leader hears of the workers answered for it.
const beatEvery = 400 * 1000

// takenFor is how long a home answers for the leader before it hands on a report
// though it says nothing new.
const takenFor = 10 * config.Second

// stay is how long a worker that can't reach its home is served elsewhere.
const stay = 20 * config.Second

func (c *Core) peerHeard(x msg.PeerHeard) { c.heard[x.Node] = c.now }

// alive tells whether a node has been heard lately.
func (c *Core) alive(node string) bool {
	return node == c.cfg.Node || c.now-c.heard[node] <= unheard
}

// home picks the node that a worker should report to: the leader if it is in
// the worker's zone, or else some node there; "" if none is heard.
func (c *Core) home(r *wire.Report) string {
	if c.location[c.claim.Holder().Node] == r.Zone && c.alive(c.claim.Holder().Node) {
		return c.claim.Holder().Node
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
func (c *Core) sendHome(x msg.ReportIn) bool {
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
	c.box.Answer(x.Req, http.StatusMisdirectedRequest, wire.Redirect{Node: home})
	return true
}

// maxRemembered is how many workers are remembered before those that are of no
// more use are forgotten.
const maxRemembered = 1000

func (c *Core) forgetWorkers() {
	if len(c.visits) > maxRemembered {
		maps.DeleteFunc(c.visits, func(_ string, v visit) bool { return c.now > max(v.stayUntil, v.sent+3*unheard) })
	}
	if len(c.taken) > maxRemembered {
		maps.DeleteFunc(c.taken, func(_ string, t taken) bool { return c.now-t.at > takenFor })
	}
	if len(c.mailed) > maxRemembered {
		maps.DeleteFunc(c.mailed, func(_ string, l mailLine) bool { return c.now-l.at > c.silence() })
	}
}

// relay serves a worker whose leader is elsewhere.
func (c *Core) relay(x msg.ReportIn) {
	r := &x.Report
	switch {
	case c.sendHome(x):
	case !c.alive(c.claim.Holder().Node) && r.Token <= c.claim.Holder().Version:
		c.standIn(x)
	case c.quiet(r):
		c.beats = append(c.beats, msg.Heard{Machine: r.Machine, Session: r.Session, Seq: r.Seq})
		c.box.Answer(x.Req, http.StatusOK, wire.ReportAnswer{Token: c.claim.Holder().Version, Orders: []wire.Order{}})
	default:
		delete(c.taken, r.Machine)
		c.box.Emit(msg.Forward{Req: x.Req, Node: c.claim.Holder().Node, Report: *r})
	}
}

// fresh tells whether this node's copy of the records is recent enough to answer
// workers by. What it doesn't know may be that a job was cancelled and its user
// told so, after its copy was current. So it stops answering early enough for the
// lease of such a worker to end within the time that a cancellation has.
func (c *Core) fresh() bool {
	w := &c.cfg.Cluster.Workers
	return c.now-c.currentAt < config.FromSeconds(w.CancelS-w.LeaseS)-4*config.Second
}

// quiet tells whether a report says only what the leader has taken before, and
// the records ask nothing of the worker.
func (c *Core) quiet(r *wire.Report) bool {
	t, ok := c.taken[r.Machine]
	expected := c.expected[r.Machine]
	if !ok || t.leader != c.claim.Holder().Version || t.session != r.Session || c.now-t.at > takenFor || r.Token != c.claim.Holder().Version ||
		r.NoticeS != nil || len(expected) != len(r.Tasks) || !slices.Equal(t.tasks, r.Tasks) || !c.fresh() {
		return false
	}
	for i := range r.Tasks {
		id, n, ok := wire.ParseTaskName(r.Tasks[i].Task)
		if !ok || r.Tasks[i].State == wire.Exited {
			return false
		}
		p, open := expected[job.Key{Job: id, Task: n, Attempt: r.Tasks[i].Attempt}]
		if j := c.jobs[id]; !open || p.Session != r.Session || j.Rec.Cancel || j.Rec.Final() {
			return false
		}
	}
	return true
}

// sendBeat tells the leader of the workers answered for it.
func (c *Core) sendBeat() {
	if len(c.beats) == 0 || c.now < c.beatAt {
		return
	}
	c.beatAt = c.now + beatEvery
	if !c.ready && c.claim.Elsewhere() != "" {
		c.box.Emit(msg.Beat{Node: c.claim.Holder().Node, Heard: c.beats})
	}
	c.beats = nil
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

func (c *Core) beatDone(x msg.BeatDone) {
	for _, name := range x.Wanted {
		delete(c.taken, name)
	}
}

// forwardDone passes on the leader's answer, or stands in for it.
func (c *Core) forwardDone(x msg.ForwardDone) {
	r := &x.Report
	if x.Answer != nil {
		if len(x.Answer.Orders) == 0 && x.Answer.Token == c.claim.Holder().Version {
			c.taken[r.Machine] = taken{c.claim.Holder().Version, r.Session, c.now, r.Tasks}
		}
		c.box.Answer(x.Req, http.StatusOK, *x.Answer)
		return
	}
	if c.claim.Held() || c.claim.Holder().Node == "" || c.claim.Holder().Node == c.cfg.Node || r.Token > c.claim.Holder().Version {
		c.box.Later(x.Req, "no leader")
		return
	}
	c.standIn(msg.ReportIn{Req: x.Req, Report: x.Report})
}

// standIn answers a report in the place of a leader that can't be reached, if
// this node's copy of the records is fresh.
func (c *Core) standIn(x msg.ReportIn) {
	r := &x.Report
	if !c.fresh() {
		c.box.Later(x.Req, "not the leader")
		return
	}
	orders := []wire.Order{}
	for _, t := range r.Tasks {
		id, _, ok := wire.ParseTaskName(t.Task)
		if !ok || t.State == wire.Exited {
			continue
		}
		j := c.jobs[id]
		if j == nil {
			c.box.Later(x.Req, "not the leader")
			return
		}
		if j.Rec.Cancel || j.Rec.Phase == job.Cancelled {
			grace := 0.0
			orders = append(orders, wire.Order{Verb: wire.Stop, Task: t.Task, Attempt: t.Attempt, GraceS: &grace})
		}
	}
	delete(c.taken, r.Machine)
	c.mail(r)
	c.box.Answer(x.Req, http.StatusOK, wire.ReportAnswer{Token: c.claim.Holder().Version, Orders: orders})
}

// mail puts a report into the leader's mail, unless it was sent a moment ago.
func (c *Core) mail(r *wire.Report) {
	l := mailLine{Machine: r.Machine, Session: r.Session, Seq: r.Seq, Token: r.Token, NoticeS: r.NoticeS, at: c.now}
	for _, t := range r.Tasks {
		l.Tasks = append(l.Tasks, mailTask{Task: t.Task, Attempt: t.Attempt, State: t.State, Cause: t.Cause, Saved: t.Saved})
	}
	// An unchanged report tells that the worker is alive, while it may be thought dead.
	if !l.news(c.mailed[r.Machine]) && c.now-c.mailed[r.Machine].at < c.silence()/2 || len(c.mailbox) > maxRemembered {
		return
	}
	c.mailbox[r.Machine] = l
}

// news tells whether a line says more than an earlier one.
func (l mailLine) news(old mailLine) bool {
	return l.Session != old.Session || !slices.Equal(l.Tasks, old.Tasks)
}

// sendMail writes what is in the mailbox, as much as one value has room for and
// what says something new first.
func (c *Core) sendMail() {
	if len(c.mailbox) == 0 || c.mailOut || c.now < c.mailAt || c.claim.Holder().Version == 0 {
		return
	}
	var lines []mailLine
	for _, name := range slices.Sorted(maps.Keys(c.mailbox)) {
		lines = append(lines, c.mailbox[name])
	}
	sort.SliceStable(lines, func(i, j int) bool {
		return lines[i].news(c.mailed[lines[i].Machine]) && !lines[j].news(c.mailed[lines[j].Machine])
	})
	value, err := job.Encode(lines)
	for err == nil && !c.form.Fits(value) {
		if len(lines) == 1 {
			delete(c.mailbox, lines[0].Machine) // never fits: the leader has to hear of it otherwise
			return
		}
		lines = lines[:len(lines)*3/4]
		value, err = job.Encode(lines)
	}
	if err != nil {
		return
	}
	c.mailOut, c.mailAt = true, c.now+c.writePause(mailShare)
	c.box.Commit(wire.Commit{
		Guards:  []wire.Guard{{Key: leaderKey, Version: c.claim.Holder().Version}},
		Changes: []wire.Change{{Put: mailPrefix + c.cfg.Node, Value: value}},
	}, func(d msg.CommitDone) {
		c.mailOut = false
		if d.Outcome != msg.OK {
			return
		}
		for _, l := range lines {
			c.mailed[l.Machine] = l
			if c.mailbox[l.Machine].Seq == l.Seq {
				delete(c.mailbox, l.Machine)
			}
		}
	})
}

// mailIn takes a deputy's mail.
func (c *Core) mailIn(ev *wire.Change) {
	if !c.ready || ev.Put == "" || ev.Version <= c.claim.Base() {
		return
	}
	var lines []mailLine
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
