package slo

import (
	"flag"
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"coralhub/internal/config"
	"coralhub/wire"
)

// Each run checks the same cases; -rapid.seed draws others.
var _ = flag.Set("rapid.seed", "1")

const within = 240 * config.Second

func TestSizeBucket(t *testing.T) {
	for tasks, want := range map[int]int{1: 1, 7: 7, 8: 8, 9: 8, 10: 10, 16: 16, 19: 16, 20: 20, 90: 80, 100_000: 98304} {
		if got := SizeBucket(tasks); got != want {
			t.Errorf("%d tasks count as %d", tasks, got)
		}
	}
}

// The jobs with the most tasks count as the largest of their class, whichever sizes the class has most of; where
// all have the same size every one does.
func TestLargestJobsOfClasses(t *testing.T) {
	tracker := New(within)
	now := 1000 * config.Second
	accept := func(class string, tasks, count, started int) {
		for i := range count {
			j := tracker.JobAccepted(now, &wire.Job{Class: class, Tasks: tasks}, now)
			if i < started {
				tracker.JobStarted(now+config.Second, j)
			}
		}
	}
	accept("mixed", 1, 60, 60)
	accept("mixed", 4, 30, 15)
	accept("mixed", 16, 10, 2)
	accept("uniform", 2, 5, 1)
	classes := tracker.Classes(now)
	if c := classes["mixed"]; c != (ClassStarts{16, Ratio{10, 2}, Ratio{90, 75}}) {
		t.Errorf("mixed: %+v", c)
	}
	if c := classes["uniform"]; c != (ClassStarts{2, Ratio{5, 1}, Ratio{}}) {
		t.Errorf("uniform: %+v", c)
	}
	now += within + bucketLength
	got := tracker.StartedInTime(now)
	if got.Class["mixed"] != (Ratio{100, 77}) || got.Largest["mixed"] != (Ratio{10, 2}) || got.Largest["uniform"] != (Ratio{5, 1}) {
		t.Errorf("%+v", got)
	}
	if late := tracker.CompletedInTime(now).Class["mixed"]; late != (Ratio{100, 0}) {
		t.Errorf("completed: %+v", late)
	}
}

func TestCompletionDeadline(t *testing.T) {
	late := 900.0
	for _, tt := range []struct {
		spec wire.Job
		want Micros
	}{
		{wire.Job{Shape: wire.Service}, 60},
		{wire.Job{Shape: wire.Array, EstimateS: 3}, 60},
		{wire.Job{Shape: wire.Gang, EstimateS: 100}, 400},
		{wire.Job{Shape: wire.Array, EstimateS: 100, DeadlineS: &late}, 900},
	} {
		if got := CompletionDeadline(&tt.spec, config.Second); got != config.Second+tt.want*config.Second {
			t.Errorf("%+v: due after %d us", tt.spec, got-config.Second)
		}
	}
}

func TestNumberOfNamesIsBounded(t *testing.T) {
	tracker := New(within)
	now := 1000 * config.Second
	for i := range 3 * maxKeys {
		now += config.Second
		tracker.JobAccepted(now, &wire.Job{Class: fmt.Sprint("c", i), Shape: wire.Array}, now)
	}
	classes := tracker.CompletedInTime(now).Class
	jobs := 0
	for _, s := range classes {
		jobs += s.Jobs
	}
	if len(classes) > maxKeys+1 || jobs < 500 {
		t.Errorf("%d names, %d jobs", len(classes), jobs)
	}
}

// Whatever happens to jobs in any order, the attainment is that of judging each job by itself, and the number of
// buckets is bounded by the window.
func TestAttainmentAgreesWithJudgingEachJob(t *testing.T) {
	type one struct {
		*Job
		class, team            string
		done, cancelled, dueAt Micros
	}
	rapid.Check(t, func(t *rapid.T) {
		tracker := New(within)
		var all []*one
		now := 1000 * config.Second
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += Micros(rapid.IntRange(0, 40).Draw(t, "s"))*config.Second + 1
			what := rapid.IntRange(0, 3).Draw(t, "what")
			if what <= 1 || len(all) == 0 {
				spec := &wire.Job{Class: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class"), Team: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "team"),
					Shape: wire.Array, EstimateS: float64(rapid.IntRange(1, 60).Draw(t, "estimate"))}
				all = append(all, &one{Job: tracker.JobAccepted(now, spec, now), class: spec.Class, team: spec.Team, dueAt: CompletionDeadline(spec, now)})
				continue
			}
			o := rapid.SampledFrom(all).Draw(t, "job")
			if what == 2 && o.cancelled == 0 && o.done == 0 {
				o.done = now
				tracker.JobCompleted(now, o.Job)
			} else if what == 3 && o.cancelled == 0 {
				o.cancelled = now
				tracker.JobCancelled(now, o.Job)
			}
			classes, teams := map[string]Ratio{}, map[string]Ratio{}
			for _, o := range all {
				at := o.dueAt - o.dueAt%bucketLength
				if at+bucketLength > now || at+bucketLength <= now-Window || o.cancelled != 0 && o.cancelled <= o.dueAt {
					continue
				}
				met := 0
				if o.done != 0 && o.done <= o.dueAt {
					met = 1
				}
				classes[o.class] = Ratio{classes[o.class].Jobs + 1, classes[o.class].Met + met}
				teams[o.team] = Ratio{teams[o.team].Jobs + 1, teams[o.team].Met + met}
			}
			got := tracker.CompletedInTime(now)
			if !maps.Equal(got.Class, classes) || !maps.Equal(got.Team, teams) {
				t.Fatalf("%v, should be %v %v", got, classes, teams)
			}
			if len(tracker.completed)+len(tracker.started) > 2*int(Window/bucketLength)+60 {
				t.Fatalf("%d and %d buckets", len(tracker.completed), len(tracker.started))
			}
		}
	})
}
