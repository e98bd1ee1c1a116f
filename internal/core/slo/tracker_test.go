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

// The fixed seed makes every run check the same cases; the flag -rapid.seed selects others.
var _ = flag.Set("rapid.seed", "1")

const startTimeLimit = 240 * config.Second

func TestSizeBucket(t *testing.T) {
	for tasks, want := range map[int]int{1: 1, 7: 7, 8: 8, 9: 8, 10: 10, 16: 16, 19: 16, 20: 20, 90: 80, 100_000: 98304} {
		if got := SizeBucket(tasks); got != want {
			t.Errorf("%d tasks: bucket %d, want %d", tasks, got, want)
		}
	}
}

// The jobs with the most tasks count as the largest of their class, regardless of the sizes that are most common in
// it. If all jobs have the same size, all of them count as the largest.
func TestLargestJobsOfClasses(t *testing.T) {
	tracker := New(startTimeLimit)
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
	now += startTimeLimit + bucketLength
	got := tracker.StartedInTime(now)
	if got.Class["mixed"] != (Ratio{100, 77}) || got.Largest["mixed"] != (Ratio{10, 2}) ||
		got.Largest["uniform"] != (Ratio{5, 1}) {
		t.Errorf("started in time: %+v", got)
	}
	if completed := tracker.CompletedInTime(now).Class["mixed"]; completed != (Ratio{100, 0}) {
		t.Errorf("completed in time: %+v, want none of 100", completed)
	}
}

func TestCompletionDeadline(t *testing.T) {
	deadline := 900.0
	for _, tt := range []struct {
		spec wire.Job
		want Micros
	}{
		{wire.Job{Shape: wire.Service}, 60},
		{wire.Job{Shape: wire.Array, EstimateS: 3}, 60},
		{wire.Job{Shape: wire.Gang, EstimateS: 100}, 400},
		{wire.Job{Shape: wire.Array, EstimateS: 100, DeadlineS: &deadline}, 900},
	} {
		if got := CompletionDeadline(&tt.spec, config.Second); got != config.Second+tt.want*config.Second {
			t.Errorf("%+v: deadline after %d us, want %d us", tt.spec, got-config.Second, tt.want*config.Second)
		}
	}
}

func TestNumberOfNamesIsBounded(t *testing.T) {
	tracker := New(startTimeLimit)
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
		t.Errorf("%d names and %d jobs, want at most %d names and at least 500 jobs", len(classes), jobs, maxKeys+1)
	}
}

// For any sequence of events, the attainment equals that of evaluating each job separately, and the number of buckets
// is bounded by the window.
func TestAttainmentEqualsSeparateEvaluation(t *testing.T) {
	type trackedJob struct {
		*Job
		class, team            string
		done, cancelled, dueAt Micros
	}
	rapid.Check(t, func(t *rapid.T) {
		tracker := New(startTimeLimit)
		var all []*trackedJob
		now := 1000 * config.Second
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += Micros(rapid.IntRange(0, 40).Draw(t, "s"))*config.Second + 1
			action := rapid.IntRange(0, 3).Draw(t, "what")
			if action <= 1 || len(all) == 0 {
				spec := &wire.Job{Class: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class"),
					Team:  rapid.SampledFrom([]string{"x", "y"}).Draw(t, "team"),
					Shape: wire.Array, EstimateS: float64(rapid.IntRange(1, 60).Draw(t, "estimate"))}
				all = append(all, &trackedJob{Job: tracker.JobAccepted(now, spec, now), class: spec.Class, team: spec.Team,
					dueAt: CompletionDeadline(spec, now)})
				continue
			}
			o := rapid.SampledFrom(all).Draw(t, "job")
			if action == 2 && o.cancelled == 0 && o.done == 0 {
				o.done = now
				tracker.JobCompleted(now, o.Job)
			} else if action == 3 && o.cancelled == 0 {
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
				t.Fatalf("attainment %v, want classes %v and teams %v", got, classes, teams)
			}
			if len(tracker.completed)+len(tracker.started) > 2*int(Window/bucketLength)+60 {
				t.Fatalf("%d and %d buckets exceed the bound of the window", len(tracker.completed), len(tracker.started))
			}
		}
	})
}
