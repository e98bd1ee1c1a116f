// Package queue ranks the pending jobs by priority, then by credit, and enforces the guarantees and limits of
// the teams.
package queue

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"coralhub/internal/config"
	"coralhub/wire"
)

// Amount is a quantity of the resources to which quotas apply.
type Amount struct{ CPUs, GPUs float64 }

// Plus returns the sum of a and n times b.
func (a Amount) Plus(b Amount, n float64) Amount { return Amount{a.CPUs + n*b.CPUs, a.GPUs + n*b.GPUs} }

// tolerance absorbs the rounding of sums of amounts.
const tolerance = 1e-6

// within reports whether an amount is within a limit; 0: there is none.
func within(a, limit float64) bool { return limit <= 0 || a <= limit+tolerance }

// UnderLimit reports whether a team's limit allows it to use an amount.
func UnderLimit(t *config.Team, a Amount) bool {
	return within(a.CPUs, t.CPUsMax) && within(a.GPUs, t.GPUsMax)
}

// HasGuarantee reports whether a team is guaranteed anything. A team that is not can't be beyond its
// guarantee: its jobs are ranked by their own priority.
func HasGuarantee(t *config.Team) bool { return t.CPUs > 0 || t.GPUs > 0 }

// UnderGuarantee reports whether an amount is within what a team is guaranteed.
func UnderGuarantee(t *config.Team, a Amount) bool {
	return within(a.CPUs, t.CPUs) && within(a.GPUs, t.GPUs)
}

// beyondGuarantee is by how many levels jobs beyond their team's guarantee rank lower: below every job that
// is within one, whatever their priorities.
const beyondGuarantee = 4

// Level returns the level of a job, 1 to 8; higher levels go first. Jobs within their team's guarantee are
// ordered by priority, and so are those beyond it, which rank below them.
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

// Usage is the average use of each team over a window, with exponential decay.
type Usage struct {
	window  float64 // microseconds
	at      config.Micros
	average map[string]float64 // by team, as Weigh computes it
}

// NewUsage returns an empty Usage over a window.
func NewUsage(window config.Micros) *Usage {
	return &Usage{window: float64(window), average: map[string]float64{}}
}

// Observe adds the current use of every team, which is assumed since the last call.
func (u *Usage) Observe(now config.Micros, used map[string]Amount) {
	decay := math.Exp(-float64(now-u.at) / u.window)
	u.at = now
	for team := range u.average {
		u.average[team] *= decay
	}
	for team, a := range used {
		u.average[team] += (1 - decay) * Weigh(a)
	}
}

// cpusPerGPU is the number of CPUs that weigh as much as a GPU.
const cpusPerGPU = 64

// Weigh makes one number of an amount, in GPUs.
func Weigh(a Amount) float64 { return a.GPUs + a.CPUs/cpusPerGPU }

// Restore sets the average use of a team, as the accounts have it, from before the first Observe.
func (u *Usage) Restore(now config.Micros, team string, used float64) {
	u.at = now
	u.average[team] = used
}

// Shares returns the share of each team in all use, 0 to 1, after dividing its use by its weight; a weight
// that isn't given is 1.
func (u *Usage) Shares(weights map[string]float64) map[string]float64 {
	weighted := func(team string) float64 {
		if w := weights[team]; w > 0 {
			return u.average[team] / w
		}
		return u.average[team]
	}
	total := 0.0
	for _, team := range slices.Sorted(maps.Keys(u.average)) {
		total += weighted(team)
	}
	out := make(map[string]float64, len(u.average))
	for team := range u.average {
		if total > 0 {
			out[team] = weighted(team) / total
		}
	}
	return out
}

// Weights returns the fair-share weights of the teams, 1 on average: their guarantees, if every team has one.
// Otherwise it returns nil: all weigh the same.
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

// Credit is the paper's credit of a job: its age up to a cap, and the part of its share that its team
// leaves unused.
func Credit(s *config.Settings, age config.Micros, share float64) float64 {
	seconds := math.Min(float64(age)/1e6, s.AgeCapS)
	return s.AgeWeight*math.Max(seconds, 0) + s.ShareWeight*(1-share)
}

// Entry is a job in the queue.
type Entry struct {
	ID      string
	Level   int
	Tier    int     // orders the jobs of a level while capacity is short; 0 goes first
	Cost    float64 // orders the jobs of a tier before their credit does; smaller goes first, 0: credit alone decides
	Credit  float64
	Created config.Micros
}

// compare orders entries by level, tier, cost, credit, age and id. It is negative if the entry ranks before the
// other one. A switch in place of cmp.Or compares no more than it has to: every cycle ranks the whole queue.
func (e *Entry) compare(other *Entry) int {
	switch {
	case e.Level != other.Level:
		return cmp.Compare(other.Level, e.Level)
	case e.Tier != other.Tier:
		return cmp.Compare(e.Tier, other.Tier)
	case e.Cost != other.Cost:
		return cmp.Compare(e.Cost, other.Cost)
	case e.Credit != other.Credit:
		return cmp.Compare(other.Credit, e.Credit)
	case e.Created != other.Created:
		return cmp.Compare(e.Created, other.Created)
	}
	return cmp.Compare(e.ID, other.ID)
}

// Rank sorts entries in the order in which they are to be placed.
func Rank(entries []Entry) {
	slices.SortFunc(entries, func(a, b Entry) int { return a.compare(&b) })
}

// DemoteBeyondGuarantee gives an entry the level that it has beyond its team's guarantee.
func (e *Entry) DemoteBeyondGuarantee() {
	if e.Level > beyondGuarantee {
		e.Level -= beyondGuarantee
	}
}

// EachRanked calls place with each of the ranked entries, in order. An entry within its team's guarantee for which
// mayUseGuarantee does not hold when its turn comes is demoted beyond the guarantee, and placed where it ranks then.
func EachRanked(entries []Entry, mayUseGuarantee func(*Entry) bool, place func(*Entry)) {
	var demoted [beyondGuarantee + 1][]Entry // by level, each in order
	placeDemoted := func(before *Entry) {    // those that rank before an entry; nil: all
		for level := beyondGuarantee; level > 0; level-- {
			for len(demoted[level]) > 0 && (before == nil || demoted[level][0].compare(before) < 0) {
				first := demoted[level][0]
				demoted[level] = demoted[level][1:]
				place(&first)
			}
		}
	}
	for i := range entries {
		e := &entries[i]
		placeDemoted(e)
		if e.Level > beyondGuarantee && !mayUseGuarantee(e) {
			e.DemoteBeyondGuarantee()
			demoted[e.Level] = append(demoted[e.Level], *e)
			continue
		}
		place(e)
	}
	placeDemoted(nil)
}
