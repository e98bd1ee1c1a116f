package leader

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/served"
	"coralhub/wire"
)

// servedEvery is how often the log tells what was served.
const servedEvery = 60 * config.Second

// service is what a node knows of what was served. Every node counts, by the records that
// come, so that an heir goes on where the leader before it was. A node that has just started
// knows nothing of jobs that are over: it counts those alone that were accepted since.
type service struct {
	tally  *served.Tally
	since  Micros // time of day; 0: not begun
	toldAt Micros
}

// wall is the time of day; 0: not known yet.
func (l *Leader) wall() Micros {
	if l.wallAhead == 0 {
		return 0
	}
	return l.box.Now() + l.wallAhead
}

// countServed takes what a record says of a job.
func (l *Leader) countServed(j *Job) {
	now, rec := l.wall(), &j.Rec
	if l.service.since == 0 || now == 0 || rec.Created == 0 && rec.Spec != nil || rec.Created != 0 && rec.Created < l.service.since {
		return
	}
	if j.judged == nil && rec.Spec != nil && !rec.Final() {
		j.judged = l.service.tally.Accepted(now, rec.Spec, rec.Created)
	}
	switch {
	case j.judged == nil:
	case rec.Phase == job.Cancelled || rec.Cancel:
		l.service.tally.Cancelled(now, j.judged)
	default:
		if j.begun() {
			l.service.tally.Began(now, j.judged)
		}
		if rec.Phase == job.Done || rec.Spec != nil && rec.Spec.Shape == wire.Service && j.Open >= rec.Spec.Tasks {
			l.service.tally.Served(now, j.judged)
		}
	}
	if rec.Final() {
		j.judged = nil
	}
}

// tellServed writes the line when it is due.
func (l *Leader) tellServed() {
	s := &l.service
	if l.box.Now()-s.toldAt < servedEvery || l.wall() == 0 {
		return
	}
	s.toldAt = l.box.Now()
	for _, told := range []struct {
		what string
		served.Shares
	}{{"served", s.tally.Shares(l.wall())}, {"begun", s.tally.Begun(l.wall())}} {
		if len(told.Class) > 0 {
			l.box.Log(told.what, "of_s", min(served.Window, l.wall()-s.since)/config.Second,
				"class", shares(told.Class), "team", shares(told.Team), "largest", shares(told.Largest))
		}
	}
}

// shares lists shares, the worst first.
func shares(of map[string]served.Share) string {
	names := slices.SortedFunc(maps.Keys(of), func(a, b string) int {
		return cmp.Or(cmp.Compare(of[a].Part(), of[b].Part()), cmp.Compare(a, b))
	})
	var out []string
	for _, name := range names[:min(len(names), maxClasses)] {
		out = append(out, fmt.Sprintf("%s=%.2f/%d", name, math.Floor(of[name].Part()*100)/100, of[name].Jobs))
	}
	return strings.Join(out, " ")
}
