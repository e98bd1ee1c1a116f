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

func (l *Leader) running(j *Job, key job.Key) {
	if j.started == nil {
		j.started = map[int]Micros{}
	}
	if _, ok := j.started[key.Task]; !ok {
		j.started[key.Task] = l.box.Now()
		if spec := j.Rec.Spec; spec != nil && len(j.started) == spec.Tasks {
			l.box.Debug("all tasks run", "job", j.ID, "class", spec.Class, "age_ms", (l.box.Now()-j.arrived)/1000)
		}
	}
	if j.Rec.Spec != nil && j.Rec.Spec.Shape == wire.Gang {
		j.gangRan = max(j.gangRan, key.Attempt)
	}
}

// exited closes a placement whose task has ended, by the worker's word.
func (l *Leader) exited(m *zone.Machine, j *Job, key job.Key, t *zone.Task) {
	if j.isClosing(key, m.Name) {
		return
	}
	l.passDue = true
	switch t.Cause {
	case wire.Done:
		if m.Absolves(j.started[key.Task]) {
			clear(m.Errors)
			l.reconsider(m)
		}
		j.failures = 0
	case wire.CauseError:
		l.failed(m, j)
	case wire.CauseNoRoom:
		m.FullUntil = l.box.Now() + config.Second
	case wire.CauseUnknown, wire.CauseBusy:
		j.holdUntil = l.box.Now() + 2*config.Second
	}
	if j.Rec.Spec != nil && j.Rec.Spec.Shape == wire.Gang && t.Cause != wire.CauseNoRoom && t.Cause != wire.CauseBusy {
		j.deadGang = max(j.deadGang, key.Attempt)
	}
	l.closeSaved(key, m.Name, t.Cause == wire.Done, t.Saved)
}

// elsewhereFor is how long a task that failed on a machine is tried elsewhere. The machine may be sound again and
// have the only room, and that may not lie idle for 90 s while the job waits.
const elsewhereFor = 60 * config.Second

// failed tells machines that fail everything from jobs that fail everywhere.
// The task is tried elsewhere first; a job that keeps failing waits longer and
// longer, and a machine on which different jobs fail gets no more work.
func (l *Leader) failed(m *zone.Machine, j *Job) {
	wasSick := m.Sick()
	if j.failures < 3 { // a job that fails everywhere says nothing about machines
		m.Errors[j.ID], m.Retried = l.box.Now(), false
		l.reconsider(m)
	}
	if j.failedOn == nil {
		j.failedOn = map[string]Micros{}
	}
	j.failedOn[m.Name] = l.box.Now() + elsewhereFor
	if m.Sick() {
		if !wasSick {
			l.box.Log("machine fails its tasks", "machine", m.Name)
		}
		return
	}
	j.failures++
	if j.failures > 2 {
		j.holdUntil = l.box.Now() + config.Second<<min(j.failures, 6)
		j.failedOn = nil
	}
}

// standIn is what another node may do for this leader.
type standIn struct {
	until    Micros // it may stand in, however old its copy of the records gets
	revision uint64 // up to which that copy is known to go
}

// allow has a node stand in for this one for a while from now on, and notes what it knows.
// It counts from when it sent the beat, which was earlier. One that doesn't know of every
// cancellation that was told gets no such word.
func (l *Leader) allow(x msg.BeatIn) Micros {
	length := config.FromSeconds(l.cfg.Settings.StandInS)
	if length <= 0 || x.Node == "" || x.Revision < l.assured {
		return 0
	}
	s := l.standIns[x.Node]
	l.standIns[x.Node] = standIn{l.box.Now() + length, max(s.revision, x.Revision)}
	return length
}

// known tells whether every node that may stand in for this one knows of a change.
func (l *Leader) known(revision uint64) bool {
	for _, s := range l.standIns {
		if l.box.Now() < s.until && s.revision < revision {
			return false
		}
	}
	return true
}

// BeatIn hears, as the leader, of workers that their homes have answered. It
// answers with those whose next report it wants to see.
func (l *Leader) BeatIn(x msg.BeatIn) {
	if !l.ready {
		l.box.Later(x.Req, "not the leader")
		return
	}
	var wanted []string
	for _, h := range x.Heard {
		m := l.owner.Roster().Get(h.Machine)
		if m == nil || m.Session != h.Session || m.Token < l.claim.Base() || m.Wanted {
			wanted = append(wanted, h.Machine)
		}
		if m != nil && m.Beat(l.box.Now(), h.Session, h.Seq) {
			m.Hearing.Answered(l.box.Now())
			l.owner.Roster().Touch(m, l.box.Now())
			l.reconsider(m)
		}
	}
	l.box.Answer(x.Req, http.StatusOK, msg.BeatAnswer{Wanted: wanted, StandIn: l.allow(x)})
}

// mailIn takes a deputy's mail.
func (l *Leader) mailIn(ev *wire.Change) {
	if !l.ready || ev.Put == "" || ev.Version <= l.claim.Base() {
		return
	}
	var lines []home.Line
	if job.Decode(ev.Value, &lines) != nil {
		return
	}
	for i := range lines {
		line := &lines[i]
		m := l.owner.Roster().Get(line.Machine)
		if m == nil || line.Token > l.claim.Token() {
			continue
		}
		if !m.Mailed {
			l.box.Debug("hearing of a worker by way of the state service", "machine", m.Name)
		}
		r := wire.Report{Machine: m.Name, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
			Session: line.Session, Seq: line.Seq, Token: line.Token, NoticeS: line.NoticeS}
		for _, t := range line.Tasks {
			r.Tasks = append(r.Tasks, wire.TaskReport{Task: t.Task, Attempt: t.Attempt, State: t.State, Cause: t.Cause, Saved: t.Saved})
		}
		if l.owner.Hear(m, &r, false) {
			m.Mailed, m.Mute = true, 0 // a home has heard its report
			l.owner.Roster().Introduce(m)
			l.reconsider(m)
		}
	}
}
