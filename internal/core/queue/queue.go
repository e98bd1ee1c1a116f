// Package queue ranks the pending jobs by priority, then credit, and keeps the
// teams within their guarantees and limits.
package queue

import (
	"maps"
	"math"
	"slices"
	"sort"

	"coralhub/internal/config"
	"coralhub/wire"
)

// Amount is a quantity of the resources that teams are limited in.
type Amount struct{ CPUs, GPUs float64 }

// Plus adds n times b.
func (a Amount) Plus(b Amount, n float64) Amount { return Amount{a.CPUs + n*b.CPUs, a.GPUs + n*b.GPUs} }

// tolerance absorbs the rounding of sums of amounts.
const tolerance = 1e-6

func within(a, limit float64) bool { return limit <= 0 || a <= limit+tolerance }

// UnderLimit tells whether a team may use a.
func UnderLimit(t *config.Team, a Amount) bool {
	return within(a.CPUs, t.CPUsMax) && within(a.GPUs, t.GPUsMax)
}

// HasGuarantee tells whether a team is guaranteed anything. A team that is not
// can't be beyond its guarantee: its jobs keep their own priority.
func HasGuarantee(t *config.Team) bool { return t.CPUs > 0 || t.GPUs > 0 }

// UnderGuarantee tells whether a is within what a team is guaranteed.
func UnderGuarantee(t *config.Team, a Amount) bool {
	return within(a.CPUs, t.CPUs) && within(a.GPUs, t.GPUs)
}

// beyondGuarantee is by how much jobs beyond their team's guarantee rank lower: below
// every job that is within one, whatever their priorities.
const beyondGuarantee = 4

// Level orders the jobs; higher goes first. Those within their team's guarantee
// come by priority, then those beyond it, again by priority.
func Level(priority string, within bool) int {
	level := 1
	switch priority {
	case wire.Production:
		level = 4
	case wire.High:
		level = 3
	case wire.Normal:
		level = 2
	}
	if within {
		level += beyondGuarantee
	}
	return level
}

// Usage averages the use of each team over a window, by exponential decay.
type Usage struct {
	window  float64
	at      config.Micros
	average map[string]float64
}

// NewUsage returns a Usage over a window.
func NewUsage(window config.Micros) *Usage {
	return &Usage{window: float64(window), average: map[string]float64{}}
}

// Observe takes the present use of every team, in GPUs where there are any.
func (u *Usage) Observe(now config.Micros, used map[string]Amount) {
	keep := math.Exp(-float64(now-u.at) / u.window)
	u.at = now
	for team := range u.average {
		u.average[team] *= keep
	}
	for team, a := range used {
		u.average[team] += (1 - keep) * Weigh(a)
	}
}

// Weigh makes one number of an amount; a GPU counts for far more than a CPU.
func Weigh(a Amount) float64 { return a.GPUs + a.CPUs/64 }

// Restore takes what a team has used on average, as the accounts tell it, from before this
// Usage began.
func (u *Usage) Restore(now config.Micros, team string, used float64) {
	u.at = now
	u.average[team] = used
}

// Shares are the parts of all use that are the teams', 0 to 1, each held against its weight;
// one that isn't given is 1.
func (u *Usage) Shares(weights map[string]float64) map[string]float64 {
	of := func(team string) float64 {
		if w := weights[team]; w > 0 {
			return u.average[team] / w
		}
		return u.average[team]
	}
	total := 0.0
	for _, team := range slices.Sorted(maps.Keys(u.average)) {
		total += of(team)
	}
	out := make(map[string]float64, len(u.average))
	for team := range u.average {
		if total > 0 {
			out[team] = of(team) / total
		}
	}
	return out
}

// Weights are what teams may use of the whole beside each other: what each is guaranteed, if
// every one is guaranteed anything; nil: all the same.
func Weights(teams []config.Team) map[string]float64 {
	out, sum := make(map[string]float64, len(teams)), 0.0
	for i := range teams {
		w := Weigh(Amount{teams[i].CPUs, teams[i].GPUs})
		if w <= 0 {
			return nil
		}
		out[teams[i].Name] = w
		sum += w
	}
	for name := range out {
		out[name] *= float64(len(teams)) / sum
	}
	return out
}

// Credit is the paper's credit of a job: its age up to a cap, and what its
// team leaves unused of its share.
func Credit(s *config.Settings, age config.Micros, share float64) float64 {
	seconds := math.Min(float64(age)/1e6, s.AgeCapS)
	return s.AgeWeight*math.Max(seconds, 0) + s.ShareWeight*(1-share)
}

// Entry is a job in the queue.
type Entry struct {
	ID      string
	Level   int
	Tier    int     // orders those of a level that is short of places; 0 goes first
	Cost    float64 // orders those of a level before their credit does; 0 where it doesn't
	Credit  float64
	Created config.Micros
}

// Before orders entries: priority, whose turn it is where places are short, what the settings
// put before credit, credit, age, id.
func (a *Entry) Before(b *Entry) bool {
	switch {
	case a.Level != b.Level:
		return a.Level > b.Level
	case a.Tier != b.Tier:
		return a.Tier < b.Tier
	case a.Cost != b.Cost:
		return a.Cost < b.Cost
	case a.Credit != b.Credit:
		return a.Credit > b.Credit
	case a.Created != b.Created:
		return a.Created < b.Created
	}
	return a.ID < b.ID
}

// Rank sorts entries.
func Rank(entries []Entry) {
	sort.Slice(entries, func(i, j int) bool { return entries[i].Before(&entries[j]) })
}

// DemoteBeyondGuarantee puts an entry where it ranks if it isn't within its team's guarantee.
func (a *Entry) DemoteBeyondGuarantee() {
	if a.Level > beyondGuarantee {
		a.Level -= beyondGuarantee
	}
}

// Visit goes through ranked entries. One for which claims says no any more when its turn comes
// ranks beyond its team's guarantee, and comes again where that is.
func Visit(entries []Entry, claims func(*Entry) bool, visit func(*Entry)) {
	var fell [beyondGuarantee + 1][]Entry // by level, each in order
	before := func(e *Entry) {            // visits what fell and comes before e; nil: all
		for level := beyondGuarantee; level > 0; level-- {
			for len(fell[level]) > 0 && (e == nil || fell[level][0].Before(e)) {
				x := fell[level][0]
				fell[level] = fell[level][1:]
				visit(&x)
			}
		}
	}
	for i := range entries {
		e := &entries[i]
		before(e)
		if e.Level > beyondGuarantee && !claims(e) {
			e.DemoteBeyondGuarantee()
			fell[e.Level] = append(fell[e.Level], *e)
			continue
		}
		visit(e)
	}
	before(nil)
}
