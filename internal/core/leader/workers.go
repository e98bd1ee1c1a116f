package leader

import (
	"net/http"

	"coralhub/internal/config"
	"coralhub/internal/core/home"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

func (c *Leader) running(j *Job, key job.Key) {
	if j.started == nil {
		j.started = map[int]Micros{}
	}
	if _, ok := j.started[key.Task]; !ok {
		j.started[key.Task] = c.box.Now()
		if spec := j.Rec.Spec; spec != nil && len(j.started) == spec.Tasks {
			c.box.Debug("all tasks run", "job", j.ID, "class", spec.Class, "age_ms", (c.box.Now()-j.arrived)/1000)
		}
	}
	if j.Rec.Spec != nil && j.Rec.Spec.Shape == wire.Gang {
		j.gangRan = max(j.gangRan, key.Attempt)
	}
}

// exited closes a placement whose task has ended, by the worker's word.
func (c *Leader) exited(m *zone.Machine, j *Job, key job.Key, t *zone.Task) {
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
		m.FullUntil = c.box.Now() + config.Second
	case wire.CauseUnknown, wire.CauseBusy:
		j.holdUntil = c.box.Now() + 2*config.Second
	}
	if j.Rec.Spec != nil && j.Rec.Spec.Shape == wire.Gang && t.Cause != wire.CauseNoRoom && t.Cause != wire.CauseBusy {
		j.deadGang = max(j.deadGang, key.Attempt)
	}
	c.close(key, m.Name, t.Cause == wire.Done)
}

// failed tells machines that fail everything from jobs that fail everywhere.
// The task is tried elsewhere first; a job that keeps failing waits longer and
// longer, and a machine on which different jobs fail gets no more work.
func (c *Leader) failed(m *zone.Machine, j *Job) {
	wasSick := m.Sick()
	if j.failures < 3 { // a job that fails everywhere says nothing about machines
		m.Errors[j.ID] = c.box.Now()
		c.reconsider(m)
	}
	if j.failedOn == nil {
		j.failedOn = map[string]Micros{}
	}
	j.failedOn[m.Name] = c.box.Now() + 120*config.Second
	if m.Sick() {
		if !wasSick {
			c.box.Log("machine fails its tasks", "machine", m.Name)
		}
		return
	}
	j.failures++
	if j.failures > 2 {
		j.holdUntil = c.box.Now() + config.Second<<min(j.failures, 6)
		j.failedOn = nil
	}
}

// BeatIn hears, as the leader, of workers that their homes have answered. It
// answers with those whose next report it wants to see.
func (c *Leader) BeatIn(x msg.BeatIn) {
	if !c.ready {
		c.box.Later(x.Req, "not the leader")
		return
	}
	var wanted []string
	for _, h := range x.Heard {
		m := c.owner.Roster().Get(h.Machine)
		if m == nil || m.Session != h.Session || m.Token < c.claim.Base() || m.Wanted {
			wanted = append(wanted, h.Machine)
		}
		if m != nil && m.Beat(c.box.Now(), h.Session, h.Seq) {
			c.owner.Roster().Touch(m, c.box.Now())
			c.reconsider(m)
		}
	}
	c.box.Answer(x.Req, http.StatusOK, wanted)
}

// mailIn takes a deputy's mail.
func (c *Leader) mailIn(ev *wire.Change) {
	if !c.ready || ev.Put == "" || ev.Version <= c.claim.Base() {
		return
	}
	var lines []home.Line
	if job.Decode(ev.Value, &lines) != nil {
		return
	}
	for i := range lines {
		l := &lines[i]
		m := c.owner.Roster().Get(l.Machine)
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
		if c.owner.Hear(m, &r, false) {
			m.Mailed = true
			c.owner.Roster().Introduce(m)
			c.reconsider(m)
		}
	}
}
