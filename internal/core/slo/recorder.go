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
	// maxLogged is the maximum number of classes, or of teams, that are listed in a log line.
	maxLogged = 100
)

// Progress is the progress of a job according to its records.
type Progress struct {
	Started  bool // set if it has ever had a placement
	Complete bool // set if it is done or, for a service, has all its replicas placed
}

// Recorder measures the SLO attainment from the records that a node reads. Every node does so, so that a
// new leader continues the counts of its predecessor. A node that has just started has no data on jobs that
// have ended, so it counts only jobs that were accepted since. Recorder is not safe for concurrent use.
type Recorder struct {
	outbox   *outbox.Outbox
	tracker  *Tracker
	since    Micros // jobs accepted from this time of day on are counted; 0 if not known yet
	loggedAt Micros
}

// NewRecorder returns a recorder that counts no jobs before StartCounting is called. Jobs have to start within
// startWithin of their acceptance.
func NewRecorder(out *outbox.Outbox, startWithin Micros) *Recorder {
	return &Recorder{outbox: out, tracker: New(startWithin)}
}

// StartCounting enables the counting of jobs that are accepted from a time of day on. Only the first call has an
// effect.
func (r *Recorder) StartCounting(wall Micros) {
	if r.since == 0 {
		r.since = wall
	}
}

// Tracker returns the tracker of the counted jobs.
func (r *Recorder) Tracker() *Tracker { return r.tracker }

// Record updates the attainment with the record of a job. wall is the time of day, or 0 if it is not known yet.
// tracked is the result of the last call for the job; it is nil if the job is not counted, or no longer counted.
func (r *Recorder) Record(wall Micros, tracked *Job, record *job.Record, progress Progress) *Job {
	if r.since == 0 || wall == 0 || r.acceptedBeforeCounting(record) {
		return tracked
	}
	if tracked == nil && record.Spec != nil && !record.Final() {
		tracked = r.tracker.JobAccepted(wall, record.Spec, record.CreatedAt)
	}
	if tracked != nil {
		r.recordProgress(wall, tracked, record, progress)
	}
	if record.Final() {
		return nil
	}
	return tracked
}

func (r *Recorder) recordProgress(wall Micros, tracked *Job, record *job.Record, progress Progress) {
	if record.Phase == job.Cancelled || record.CancelRequested {
		r.tracker.JobCancelled(wall, tracked)
		return
	}
	if progress.Started {
		r.tracker.JobStarted(wall, tracked)
	}
	if progress.Complete {
		r.tracker.JobCompleted(wall, tracked)
	}
}

// acceptedBeforeCounting reports whether a job was accepted before this node began to count, or at an
// unknown time.
func (r *Recorder) acceptedBeforeCounting(record *job.Record) bool {
	if record.CreatedAt == 0 {
		return record.Spec != nil
	}
	return record.CreatedAt < r.since
}

// Log writes the log lines if they are due. wall is the time of day, or 0 if it is not known yet.
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

// formatRatios lists ratios by name with their numbers of jobs, in ascending order and at most maxLogged of them.
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
