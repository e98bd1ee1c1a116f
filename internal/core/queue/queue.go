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

const (
	// unitsPerCore is the number of units of an Amount in a core or a GPU.
	unitsPerCore = 1e9
	// unitTolerance is the part of a unit by which the product of a decimal number and unitsPerCore may be too low.
	unitTolerance = 1e-3
)

// Amount is a quantity of the resources to which quotas apply, in billionths of a core and of a GPU. Both are whole
// numbers, so that sums are exact and don't depend on the order: up to nine million cores, as many GPUs.
type Amount struct{ cpus, gpus float64 }

// NewAmount returns an amount of cores and GPUs, rounded down to billionths, so that six tasks of a sixth fit into one.
// An amount above 0 is at least a billionth: a task that needs little still counts.
func NewAmount(cpus, gpus float64) Amount { return Amount{units(cpus), units(gpus)} }

func units(amount float64) float64 {
	rounded := math.Floor(float64(amount*unitsPerCore) + unitTolerance)
	if amount > 0 {
		return max(rounded, 1)
	}
	return rounded
}

// Plus returns the sum of a and n times b.
func (a Amount) Plus(b Amount, n int) Amount {
	return Amount{a.cpus + float64(float64(n)*b.cpus), a.gpus + float64(float64(n)*b.gpus)}
}

// within reports whether a number of units is within a limit in cores or GPUs. A limit of 0 means that there is none.
func within(a, limit float64) bool { return limit <= 0 || a <= units(limit) }

// WithinLimit reports whether a team's limit allows it to use an amount.
func WithinLimit(t *config.Team, a Amount) bool {
	return within(a.cpus, t.CPUsMax) && within(a.gpus, t.GPUsMax)
}

// HasGuarantee reports whether a team has a guarantee. The jobs of a team without one are never beyond the
// guarantee: they are ranked by their own priority.
func HasGuarantee(t *config.Team) bool { return t.CPUs > 0 || t.GPUs > 0 }

// WithinGuarantee reports whether an amount is within a team's guarantee. A resource without a guarantee is not
// bounded.
func WithinGuarantee(t *config.Team, a Amount) bool {
	return within(a.cpus, t.CPUs) && within(a.gpus, t.GPUs)
}

// guaranteeLevelOffset is the number of levels by which jobs beyond their team's guarantee rank lower. It is the number
// of priorities, so that they rank below every job within a guarantee, regardless of priority.
const guaranteeLevelOffset = 4

// Level returns the level of a job, 1 to 8; higher levels rank first. Jobs within their team's guarantee are
// ordered by priority, and so are those beyond it, which rank below them.
func Level(priority string, withinGuarantee bool) int {
	level := 1
	switch priority {
	case wire.Production:
		level = 4
	case wire.High:
		level = 3
	case wire.Normal:
		level = 2
	}
	if withinGuarantee {
		level += guaranteeLevelOffset
	}
	return level
}

// Usage is the average use of each team over a window, with exponential decay.
type Usage struct {
	window  float64 // microseconds
	at      config.Micros
	average map[string]float64 // by team, in GPU equivalents
}

// NewUsage returns an empty Usage over a window in microseconds.
func NewUsage(window config.Micros) *Usage {
	return &Usage{window: float64(window), average: map[string]float64{}}
}

// Observe adds the current use of every team, which is assumed to have been constant since the previous call.
func (u *Usage) Observe(now config.Micros, used map[string]Amount) {
	decay := math.Exp(-float64(now-u.at) / u.window)
	u.at = now
	for team := range u.average {
		u.average[team] *= decay
	}
	for team, a := range used {
		u.average[team] += float64((1 - decay) * a.gpuEquivalents())
	}
}

// cpusPerGPU is the number of CPUs that have the weight of one GPU.
const cpusPerGPU = 64

// GPUEquivalents returns cores and GPUs as a number of GPUs, with cores converted by cpusPerGPU.
func GPUEquivalents(cpus, gpus float64) float64 { return gpus + cpus/cpusPerGPU }

// gpuEquivalents returns an amount as a number of GPUs, see GPUEquivalents.
func (a Amount) gpuEquivalents() float64 {
	return GPUEquivalents(a.cpus/unitsPerCore, a.gpus/unitsPerCore)
}

// Restore sets the average use of a team before the first Observe, as computed from the accounts.
func (u *Usage) Restore(now config.Micros, team string, used float64) {
	u.at = now
	u.average[team] = used
}

// Shares returns the share of each team in the total use, 0 to 1, where the use of a team is divided by its weight.
// A team that is not in weights has weight 1.
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

// Weights returns the fair-share weights of the teams, which are proportional to their guarantees and 1 on average.
// It returns nil, which gives all teams the same weight, unless every team has a guarantee.
func Weights(teams []config.Team) map[string]float64 {
	out, sum := make(map[string]float64, len(teams)), 0.0
	for i := range teams {
		w := GPUEquivalents(teams[i].CPUs, teams[i].GPUs)
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

// Credit returns the credit of a job as MAST (Choudhury et al., OSDI 2024) defines it: the weighted sum of its age, up
// to a cap, and of the part of the total use that is not its team's. share is its team's part, 0 to 1.
func Credit(s *config.Settings, age config.Micros, share float64) float64 {
	seconds := math.Min(float64(age)/1e6, s.AgeCapS)
	return float64(s.AgeWeight*math.Max(seconds, 0)) + float64(s.ShareWeight*(1-share))
}

// Entry is a job in the queue.
type Entry struct {
	ID      string
	Level   int
	Tier    int     // orders the jobs of a level while capacity is short; lower tiers rank first, from 0
	Cost    float64 // orders the jobs of a tier, ahead of Credit; lower ranks first, 0 if only Credit orders the job
	Credit  float64
	Created config.Micros
}

// compare orders entries by level, tier, cost, credit, age and id. The result is negative if the entry ranks before
// the other one. Every cycle ranks the whole queue, so a switch replaces cmp.Or, which evaluates all comparisons.
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

// Rank sorts entries into the order of placement.
func Rank(entries []Entry) {
	slices.SortFunc(entries, func(a, b Entry) int { return a.compare(&b) })
}

// DemoteBeyondGuarantee lowers an entry to the level of its priority beyond its team's guarantee.
func (e *Entry) DemoteBeyondGuarantee() {
	if e.Level > guaranteeLevelOffset {
		e.Level -= guaranteeLevelOffset
	}
}

// EachRanked calls place with each of the ranked entries, in order. mayUseGuarantee is called with each entry within
// its team's guarantee right before it would be placed. If it returns false, the entry is demoted beyond the guarantee
// and placed at its new rank.
func EachRanked(entries []Entry, mayUseGuarantee func(*Entry) bool, place func(*Entry)) {
	var demoted [guaranteeLevelOffset + 1][]Entry // by level, each in order
	// placeDemoted places the demoted entries that rank before an entry, or all if it is nil.
	placeDemoted := func(before *Entry) {
		for level := guaranteeLevelOffset; level > 0; level-- {
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
		if e.Level > guaranteeLevelOffset && !mayUseGuarantee(e) {
			e.DemoteBeyondGuarantee()
			demoted[e.Level] = append(demoted[e.Level], *e)
			continue
		}
		place(e)
	}
	placeDemoted(nil)
}
