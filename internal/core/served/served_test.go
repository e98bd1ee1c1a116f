package served

import (
	"flag"
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"coralhub/internal/config"
	"coralhub/wire"
)

// The same cases every run; -rapid.seed draws others.
var _ = flag.Set("rapid.seed", "1")

func TestDue(t *testing.T) {
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
		if got := Due(&tt.spec, config.Second); got != config.Second+tt.want*config.Second {
			t.Errorf("%+v: due after %d us", tt.spec, got-config.Second)
		}
	}
}

func TestNamesAreBounded(t *testing.T) {
	tally := New()
	now := Micros(1000 * config.Second)
	for i := range 3 * mostKeys {
		now += config.Second
		tally.Accepted(now, &wire.Job{Class: fmt.Sprint("c", i), Shape: wire.Array}, now)
	}
	classes, _ := tally.Shares(now)
	jobs := 0
	for _, s := range classes {
		jobs += s.Jobs
	}
	if len(classes) > mostKeys+1 || jobs < 500 {
		t.Errorf("%d names, %d jobs", len(classes), jobs)
	}
}

// Whatever happens to jobs in whichever order, the shares are those that judging each by itself
// gives, and what is kept is bounded by the window.
func TestSharesAgreeWithJudgingEach(t *testing.T) {
	type one struct {
		*Job
		class, team            string
		done, cancelled, dueAt Micros
	}
	rapid.Check(t, func(t *rapid.T) {
		tally := New()
		var all []*one
		now := Micros(1000 * config.Second)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += Micros(rapid.IntRange(0, 40).Draw(t, "s"))*config.Second + 1
			what := rapid.IntRange(0, 3).Draw(t, "what")
			if what <= 1 || len(all) == 0 {
				spec := &wire.Job{Class: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class"), Team: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "team"),
					Shape: wire.Array, EstimateS: float64(rapid.IntRange(1, 60).Draw(t, "estimate"))}
				all = append(all, &one{Job: tally.Accepted(now, spec, now), class: spec.Class, team: spec.Team, dueAt: Due(spec, now)})
				continue
			}
			o := rapid.SampledFrom(all).Draw(t, "job")
			if what == 2 && o.cancelled == 0 && o.done == 0 {
				o.done = now
				tally.Served(now, o.Job)
			} else if what == 3 && o.cancelled == 0 {
				o.cancelled = now
				tally.Cancelled(now, o.Job)
			}
			classes, teams := map[string]Share{}, map[string]Share{}
			for _, o := range all {
				at := o.dueAt - o.dueAt%bucket
				if at+bucket > now || at+bucket <= now-Window || o.cancelled != 0 && o.cancelled <= o.dueAt {
					continue
				}
				served := 0
				if o.done != 0 && o.done <= o.dueAt {
					served = 1
				}
				classes[o.class] = Share{classes[o.class].Jobs + 1, classes[o.class].Served + served}
				teams[o.team] = Share{teams[o.team].Jobs + 1, teams[o.team].Served + served}
			}
			gotClasses, gotTeams := tally.Shares(now)
			if !maps.Equal(gotClasses, classes) || !maps.Equal(gotTeams, teams) {
				t.Fatalf("%v %v, should be %v %v", gotClasses, gotTeams, classes, teams)
			}
			if len(tally.buckets) > int(Window/bucket)+30 {
				t.Fatalf("%d buckets", len(tally.buckets))
			}
		}
	})
}
