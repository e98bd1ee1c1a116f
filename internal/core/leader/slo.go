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

// attainmentLogInterval is the time between two log lines on the SLO attainment.
const attainmentLogInterval = 60 * config.Second

// sloTracker is what a node knows of the SLO attainment. Every node counts, by the records that it
// reads, so that a successor continues the counts of the leader before it. A node that has just started
// knows nothing of jobs that have ended: it only counts those that were accepted since.
type sloTracker struct {
	*environment

	tracker  *slo.Tracker
	since    Micros // time of day from which on jobs are counted; 0: not yet known
	loggedAt Micros
}

// trackJob counts what the record of a job says about its objectives.
func (st *sloTracker) trackJob(j *Job) {
	now, rec := st.wallClock(), &j.Record
	if st.since == 0 || now == 0 || st.acceptedBefore(rec) {
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
		if j.meetsObjective() {
			st.tracker.JobCompleted(now, j.tracked)
		}
	}
	if rec.Final() {
		j.tracked = nil
	}
}

// acceptedBefore reports whether a job was accepted before this node began to count, or at a time
// that is not known.
func (st *sloTracker) acceptedBefore(rec *job.Record) bool {
	if rec.CreatedAt == 0 {
		return rec.Spec != nil
	}
	return rec.CreatedAt < st.since
}

// meetsObjective reports whether a job is done or, for a service, has all its replicas placed.
func (j *Job) meetsObjective() bool {
	rec := &j.Record
	if rec.Phase == job.Done {
		return true
	}
	return rec.Spec != nil && rec.Spec.Shape == wire.Service && j.OpenTasks >= rec.Spec.Tasks
}

// logAttainment writes the log lines when they are due.
func (st *sloTracker) logAttainment() {
	wall := st.wallClock()
	if st.outbox.Now()-st.loggedAt < attainmentLogInterval || wall == 0 {
		return
	}
	st.loggedAt = st.outbox.Now()
	for _, objective := range []struct {
		message string
		slo.Attainment
	}{{"completed within objective", st.tracker.CompletedInTime(wall)}, {"started within objective", st.tracker.StartedInTime(wall)}} {
		if len(objective.Class) > 0 {
			st.outbox.Log(objective.message, "window_s", min(slo.Window, wall-st.since)/config.Second,
				"class", formatRatios(objective.Class), "team", formatRatios(objective.Team), "largest", formatRatios(objective.Largest))
		}
	}
}

// formatRatios lists ratios by name with their numbers of jobs, the worst first.
func formatRatios(ratios map[string]slo.Ratio) string {
	names := slices.SortedFunc(maps.Keys(ratios), func(a, b string) int {
		return cmp.Or(cmp.Compare(ratios[a].Value(), ratios[b].Value()), cmp.Compare(a, b))
	})
	var out []string
	for _, name := range names[:min(len(names), maxClasses)] {
		roundedDown := math.Floor(ratios[name].Value()*100) / 100
		out = append(out, fmt.Sprintf("%s=%.2f/%d", name, roundedDown, ratios[name].Jobs))
	}
	return strings.Join(out, " ")
}
