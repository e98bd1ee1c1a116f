package queue

import (
	"math"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"coralhub/internal/config"
	"coralhub/wire"
)

func TestRankOrder(t *testing.T) {
	want := []Entry{
		{ID: "production", Level: Level(wire.Production, true), Credit: 1},
		{ID: "high", Level: Level(wire.High, true), Credit: 1},
		{ID: "credit", Level: Level(wire.Normal, true), Credit: 9},
		{ID: "earlier", Level: Level(wire.Normal, true), Credit: 3, Created: 1},
		{ID: "by-id-1", Level: Level(wire.Normal, true), Credit: 3, Created: 2},
		{ID: "by-id-2", Level: Level(wire.Normal, true), Credit: 3, Created: 2},
		{ID: "low", Level: Level(wire.Low, true), Credit: 100},
		{ID: "beyond-high", Level: Level(wire.High, false), Credit: 1},
		{ID: "beyond-low", Level: Level(wire.Low, false), Credit: 300},
	}
	rnd := rand.New(rand.NewPCG(3, 4))
	for range 50 {
		got := append([]Entry(nil), want...)
		rnd.Shuffle(len(got), func(i, j int) { got[i], got[j] = got[j], got[i] })
		Rank(got)
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("ranked %v, want %v", got, want)
		}
	}
}

// An entry that no longer fits into its team's guarantee after others of the team were placed is placed at its rank
// beyond the guarantee. No entry is omitted or placed twice.
func TestEachRankedDemotesBeyondGuarantee(t *testing.T) {
	entries := []Entry{
		{ID: "a", Level: Level(wire.High, true), Tier: 1}, {ID: "b", Level: Level(wire.High, true), Tier: 2},
		{ID: "c", Level: Level(wire.High, true), Tier: 3}, {ID: "d", Level: Level(wire.Low, true)},
		{ID: "e", Level: Level(wire.Production, false)}, {ID: "f", Level: Level(wire.High, false), Tier: 2, Credit: 1},
		{ID: "g", Level: Level(wire.Low, false)},
	}
	var order []string
	guaranteesLeft := 1
	mayUseGuarantee := func(*Entry) bool {
		guaranteesLeft--
		return guaranteesLeft >= 0
	}
	EachRanked(entries, mayUseGuarantee, func(e *Entry) { order = append(order, e.ID) })
	if got := strings.Join(order, " "); got != "a e f b c d g" {
		t.Errorf("order of placement %q, want \"a e f b c d g\"", got)
	}
}

func TestCreditCapsAgeAndFavoursUnusedShare(t *testing.T) {
	s := config.Defaults()
	old, older := Credit(&s, 300*config.Second, 0.5), Credit(&s, 900*config.Second, 0.5)
	if old != older {
		t.Errorf("credit depends on age beyond the cap: %v and %v", old, older)
	}
	if Credit(&s, config.Second, 0.2) <= Credit(&s, config.Second, 0.8) {
		t.Error("credit does not decrease with the share of the team")
	}
}

func TestUsageSharesOfTeams(t *testing.T) {
	u := NewUsage(60 * config.Second)
	for i := range config.Micros(120) {
		u.Observe((i+1)*config.Second, map[string]Amount{"a": NewAmount(0, 3), "b": NewAmount(0, 1)})
	}
	if s := u.Shares(nil)["a"]; s < 0.74 || s > 0.76 {
		t.Errorf("share of a = %v, want 0.75", s)
	}
	if s := u.Shares(nil)["c"]; s != 0 {
		t.Errorf("share of a team without use = %v, want 0", s)
	}
}

func TestLimitsAndGuarantees(t *testing.T) {
	team := &config.Team{GPUs: 4, GPUsMax: 8}
	if !WithinLimit(team, NewAmount(1e6, 8)) || WithinLimit(team, NewAmount(0, 8.1)) {
		t.Error("want a limit on GPUs, and none on CPUs, whose limit is 0")
	}
	if !WithinGuarantee(team, NewAmount(0, 4)) || WithinGuarantee(team, NewAmount(0, 4.5)) {
		t.Error("want a guarantee of exactly 4 GPUs")
	}
	if HasGuarantee(&config.Team{GPUsMax: 8}) {
		t.Error("HasGuarantee() = true for a team with only a limit")
	}
}

// Guards against a limit that is exceeded by less than a tolerance, and against one that is not reached because sums of
// decimal numbers are rounded.
func TestLimitsAreExact(t *testing.T) {
	limit := &config.Team{GPUsMax: 24, CPUsMax: 0.7}
	for _, tiny := range []float64{5e-324, 1e-300, 1e-18, 1e-9, 5e-7, 1e-6} {
		if WithinLimit(limit, NewAmount(0, 24).Plus(NewAmount(0, tiny), 1)) {
			t.Errorf("24 and %v GPUs are within a limit of 24", tiny)
		}
	}
	sum := Amount{}
	for n := range 7 {
		sum = sum.Plus(NewAmount(0.1, 0), 1)
		if sum != (Amount{}.Plus(NewAmount(0.1, 0), n+1)) || !WithinLimit(limit, sum) {
			t.Errorf("%d times 0.1 cores are %v, want the product, and within a limit of 0.7", n+1, sum)
		}
	}
	if WithinLimit(limit, sum.Plus(NewAmount(0.1, 0), 1)) {
		t.Error("0.8 cores are within a limit of 0.7")
	}
	if got := sum.Plus(NewAmount(0.1, 0), -7); got != (Amount{}) {
		t.Errorf("%v is left after all amounts were subtracted, want nothing", got)
	}
	for n := 1; n <= 1000; n++ {
		whole := &config.Team{CPUsMax: 1}
		if !WithinLimit(whole, Amount{}.Plus(NewAmount(1/float64(n), 0), n)) {
			t.Errorf("%d times 1/%d cores are beyond a limit of 1", n, n)
		}
		hundredths := float64(n) / 100
		if sum := (Amount{}).Plus(NewAmount(0.01, 0), n); sum != NewAmount(hundredths, 0) {
			t.Errorf("%d times 0.01 cores are %v, want %v", n, sum, NewAmount(hundredths, 0))
		}
	}
	if !WithinLimit(&config.Team{GPUsMax: math.Inf(1)}, NewAmount(0, 1e9)) {
		t.Error("1e9 GPUs are beyond an infinite limit")
	}
}
