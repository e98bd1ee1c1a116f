package slo

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/outbox"
)

const (
	// logInterval is the time between two log lines on the SLO attainment.
	logInterval = 60 * config.Second
	// maxLogged is the number of classes, or teams, that are listed in a log line.
	maxLogged = 100
)

// Progress is how far a job has come by its records.
type Progress struct {
	Started  bool // it has ever had a placement
	Complete bool // it is done or, for a service, has all its replicas placed
}

// Recorder is what a node knows of the SLO attainment. Every node counts, by the records that it
// reads, so that a successor continues the counts of the leader before it. A node that has just started
// knows nothing of jobs that have ended: it only counts those that were accepted since. It is not safe for
// concurrent use.
type Recorder struct {
	outbox   *outbox.Outbox
	tracker  *Tracker
	since    Micros // time of day from which on jobs are counted; 0: not yet known
	loggedAt Micros
}

// NewRecorder returns a recorder that counts nothing yet. Jobs have to start within a time from their acceptance on.
func NewRecorder(out *outbox.Outbox, startWithin Micros) *Recorder {
	return &Recorder{outbox: out, tracker: New(startWithin)}
}

// StartCounting has jobs counted that are accepted from a time of day on. Only the first call has an effect.
func (r *Recorder) StartCounting(wall Micros) {
	if r.since == 0 {
		r.since = wall
	}
}

// Tracker returns the attainment by the jobs that were counted.
func (r *Recorder) Tracker() *Tracker { return r.tracker }

// Record counts what the record of a job says about its objectives at a time of day; 0: not known yet. It takes and
// returns what is known of the job; nil: it is not counted, or not any more.
func (r *Recorder) Record(wall Micros, known *Job, record *job.Record, progress Progress) *Job {
	if r.since == 0 || wall == 0 || r.acceptedBefore(record) {
		return known
	}
	if known == nil && record.Spec != nil && !record.Final() {
		known = r.tracker.JobAccepted(wall, record.Spec, record.CreatedAt)
	}
	if known != nil {
		r.recordProgress(wall, known, record, progress)
	}
	if record.Final() {
		return nil
	}
	return known
}

func (r *Recorder) recordProgress(wall Micros, known *Job, record *job.Record, progress Progress) {
	if record.Phase == job.Cancelled || record.CancelRequested {
		r.tracker.JobCancelled(wall, known)
		return
	}
	if progress.Started {
		r.tracker.JobStarted(wall, known)
	}
	if progress.Complete {
		r.tracker.JobCompleted(wall, known)
	}
}

// acceptedBefore reports whether a job was accepted before this node began to count, or at a time
// that is not known.
func (r *Recorder) acceptedBefore(record *job.Record) bool {
	if record.CreatedAt == 0 {
		return record.Spec != nil
	}
	return record.CreatedAt < r.since
}

// Log writes the log lines when they are due. The time of day is 0 if it is not known yet.
func (r *Recorder) Log(wall Micros) {
	if r.outbox.Now()-r.loggedAt < logInterval || wall == 0 {
		return
	}
	r.loggedAt = r.outbox.Now()
	r.logAttainment("completed within objective", wall, r.tracker.CompletedInTime(wall))
	r.logAttainment("started within objective", wall, r.tracker.StartedInTime(wall))
}

func (r *Recorder) logAttainment(message string, wall Micros, attainment Attainment) {
	if len(attainment.Class) == 0 {
		return
	}
	r.outbox.Log(message,
		"window_s", min(Window, wall-r.since)/config.Second,
		"class", formatRatios(attainment.Class),
		"team", formatRatios(attainment.Team),
		"largest", formatRatios(attainment.Largest))
}

// formatRatios lists ratios by name with their numbers of jobs, the worst first.
func formatRatios(ratios map[string]Ratio) string {
	names := slices.SortedFunc(maps.Keys(ratios), func(a, b string) int {
		return cmp.Or(cmp.Compare(ratios[a].Value(), ratios[b].Value()), cmp.Compare(a, b))
	})
	var out []string
	for _, name := range names[:min(len(names), maxLogged)] {
		roundedDown := math.Floor(ratios[name].Value()*100) / 100
		out = append(out, fmt.Sprintf("%s=%.2f/%d", name, roundedDown, ratios[name].Jobs))
	}
	return strings.Join(out, " ")
}
