package queue

import (
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
		u.Observe((i+1)*config.Second, map[string]Amount{"a": {GPUs: 3}, "b": {GPUs: 1}})
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
	if !WithinLimit(team, Amount{CPUs: 1e6, GPUs: 8}) || WithinLimit(team, Amount{GPUs: 8.1}) {
		t.Error("want a limit on GPUs, and none on CPUs, whose limit is 0")
	}
	if !WithinGuarantee(team, Amount{GPUs: 4}) || WithinGuarantee(team, Amount{GPUs: 4.5}) {
		t.Error("want a guarantee of exactly 4 GPUs")
	}
	if HasGuarantee(&config.Team{GPUsMax: 8}) {
		t.Error("HasGuarantee() = true for a team with only a limit")
	}
}
