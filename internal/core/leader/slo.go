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
	"coralhub/internal/core/slo"
	"coralhub/wire"
)

// attainmentLogInterval is how often the log tells what was served.
const attainmentLogInterval = 60 * config.Second

// sloTracker is what a node knows of what was served. Every node counts, by the records that
// come, so that an heir goes on where the leader before it was. A node that has just started
// knows nothing of jobs that are over: it counts those alone that were accepted since.
type sloTracker struct {
	*environment

	tracker  *slo.Tracker
	since    Micros // time of day; 0: not begun
	loggedAt Micros
}

// trackJob takes what a record says of a job.
func (st *sloTracker) trackJob(j *Job) {
	now, rec := st.wallClock(), &j.Record
	if st.since == 0 || now == 0 || rec.CreatedAt == 0 && rec.Spec != nil || rec.CreatedAt != 0 && rec.CreatedAt < st.since {
		return
	}
	if j.tracked == nil && rec.Spec != nil && !rec.Final() {
		j.tracked = st.tracker.JobAccepted(now, rec.Spec, rec.CreatedAt)
	}
	switch {
	case j.tracked == nil:
	case rec.Phase == job.Cancelled || rec.CancelRequested:
		st.tracker.JobCancelled(now, j.tracked)
	default:
		if j.hasStarted() {
			st.tracker.JobStarted(now, j.tracked)
		}
		if rec.Phase == job.Done || rec.Spec != nil && rec.Spec.Shape == wire.Service && j.OpenTasks >= rec.Spec.Tasks {
			st.tracker.JobCompleted(now, j.tracked)
		}
	}
	if rec.Final() {
		j.tracked = nil
	}
}

// logAttainment writes the line when it is due.
func (st *sloTracker) logAttainment() {
	s := st
	if st.outbox.Now()-s.loggedAt < attainmentLogInterval || st.wallClock() == 0 {
		return
	}
	s.loggedAt = st.outbox.Now()
	for _, told := range []struct {
		what string
		slo.Attainment
	}{{"completed within objective", s.tracker.CompletedInTime(st.wallClock())}, {"started within objective", s.tracker.StartedInTime(st.wallClock())}} {
		if len(told.Class) > 0 {
			st.outbox.Log(told.what, "window_s", min(slo.Window, st.wallClock()-s.since)/config.Second,
				"class", formatShares(told.Class), "team", formatShares(told.Team), "largest", formatShares(told.Largest))
		}
	}
}

// formatShares lists shares, the worst first.
func formatShares(of map[string]slo.Ratio) string {
	names := slices.SortedFunc(maps.Keys(of), func(a, b string) int {
		return cmp.Or(cmp.Compare(of[a].Value(), of[b].Value()), cmp.Compare(a, b))
	})
	var out []string
	for _, name := range names[:min(len(names), maxClasses)] {
		out = append(out, fmt.Sprintf("%s=%.2f/%d", name, math.Floor(of[name].Value()*100)/100, of[name].Jobs))
	}
	return strings.Join(out, " ")
}
