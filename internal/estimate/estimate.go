// Package estimate learns how long jobs run from past runs of similar work, and states
// how far each estimate can be trusted. It is deterministic: it reads no clock, does no
// I/O, and no result depends on the iteration order of a map. Durations are whole
// microseconds in the API and natural logarithms of seconds internally.
//
// Similar work forms a hierarchy, from all work down to the same image and shape. Each
// level corrects the estimate of the level above by as much as its evidence is worth, and
// keeps the errors of its own earlier estimates. An interval is made of quantiles of those
// errors, so its coverage is right by construction as long as the work doesn't change.
// See docs/notes/runtime-estimates.md.
package estimate

import (
	"cmp"
	"math"
	"slices"
)

// Micros is a duration in whole microseconds.
type Micros = int64

const microsPerSecond = 1e6

// Features are the attributes of a run that its estimate depends on.
type Features struct {
	Image, Shape, Class, Team string
	Expect                    Micros // the user's own estimate; 0: none
	Machine                   string // where it runs; "": not placed yet
}

// Level is the level of the hierarchy that an estimate comes from.
type Level uint8

// The levels, from the widest to the narrowest. User means that nothing has been learned:
// the estimate is the user's own.
const (
	Unknown Level = iota
	User
	Everything
	Team
	Class
	ClassShape
	ImageShape
	levels
)

var levelNames = [levels]string{"unknown", "owner", "everything", "team", "class", "class and shape", "image and shape"}

// String returns the name of the level as it is shown to users.
func (l Level) String() string { return levelNames[min(l, levels-1)] }

// Evidence is how a run ended.
type Evidence struct {
	Features
	Ran  Micros // time worked, without restarts and waiting
	Done bool   // false: it ended otherwise or was not observed from its start, so it takes longer than Ran
}

// Settings bound the memory of a Model.
type Settings struct {
	Groups   int // groups of similar work that are kept at a time
	Machines int // machines whose speed is kept
}

// DefaultSettings returns settings that suit a node with little memory.
func DefaultSettings() Settings { return Settings{Groups: 512, Machines: 4096} }

// groupKey identifies a group of similar work: a level and the features that its runs
// have in common.
type groupKey struct {
	level Level
	name  string // team, class or image
	shape string
}

// Model is what has been learned. It is not safe for concurrent use.
type Model struct {
	settings  Settings
	epoch     uint64
	observed  uint64
	groups    map[groupKey]*group
	coverage  map[string]*coverage // by class
	machines  map[string]*speed
	clock     uint64 // counts observations; orders groups by their last use, for eviction
	baseEpoch uint64 // the last epoch whose evidence is in the groups' base
	changes   int
}

// New returns a Model that has learned nothing. The epoch distinguishes what it learns
// from what other epochs have learned; a leader passes its fencing token.
func New(s Settings, epoch uint64) *Model {
	if s.Groups <= 0 || s.Machines <= 0 {
		s = DefaultSettings()
	}
	return &Model{
		settings: s,
		epoch:    epoch,
		groups:   map[groupKey]*group{},
		coverage: map[string]*coverage{},
		machines: map[string]*speed{},
	}
}

// Changes returns the number of sudden changes that were detected.
func (m *Model) Changes() int { return m.changes }

// Observed returns the number of runs that were learned from in this epoch.
func (m *Model) Observed() uint64 { return m.observed }

// keys returns the group of each level that a run with these features belongs to.
func (f *Features) keys() [levels]groupKey {
	var k [levels]groupKey
	k[Everything] = groupKey{level: Everything}
	k[Team] = groupKey{Team, f.Team, ""}
	k[Class] = groupKey{Class, f.Class, ""}
	k[ClassShape] = groupKey{ClassShape, f.Class, f.Shape}
	k[ImageShape] = groupKey{ImageShape, f.Image, f.Shape}
	return k
}

// userEstimate is the logarithm of a user's own estimate, if there is one.
type userEstimate struct {
	given      bool
	logSeconds float64
}

// shortestRun is the duration in seconds that shorter runs count as, so that a run that
// ends at once has a logarithm.
const shortestRun = 0.01

// Bounds of the logarithm of seconds that are turned back into a duration: far outside
// any run, and within the range of Micros.
const (
	minLogSeconds = -20
	maxLogSeconds = 25
)

// logSeconds converts a duration to the logarithm of its seconds.
func logSeconds(d Micros) float64 { return math.Log(math.Max(float64(d)/microsPerSecond, shortestRun)) }

// fromLogSeconds converts a logarithm of seconds to a duration.
func fromLogSeconds(y float64) Micros {
	return Micros(math.Round(math.Exp(math.Min(math.Max(y, minLogSeconds), maxLogSeconds)) * microsPerSecond))
}

// Kinds calls f with the features of each known group of work that has a class, until f
// returns false.
func (m *Model) Kinds(f func(Features) bool) {
	for _, k := range sortedGroups(m.groups) {
		g := m.groups[k]
		var features Features
		switch k.level {
		case Class:
			features = Features{Class: k.name}
		case ClassShape:
			features = Features{Class: k.name, Shape: k.shape}
		case ImageShape:
			features = Features{Class: g.class, Image: k.name, Shape: k.shape}
		default:
			continue
		}
		if g.N > 0 && !f(features) {
			return
		}
	}
}

// compareKeys orders keys by level, name and shape.
func compareKeys(a, b groupKey) int {
	return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.name, b.name), cmp.Compare(a.shape, b.shape))
}

// sortedGroups returns the keys of groups in order.
func sortedGroups(groups map[groupKey]*group) []groupKey {
	keys := make([]groupKey, 0, len(groups))
	for k := range groups {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

// group returns the group of a key. If it doesn't exist it is created, in place of the
// least recently used one if there are as many as allowed.
func (m *Model) group(k groupKey, class string) *group {
	if g := m.groups[k]; g != nil {
		return g
	}
	evictOldest(m.groups, max(m.settings.Groups, int(levels)), func(g *group) uint64 {
		if g.level == Everything {
			return math.MaxUint64 // never evicted: every estimate uses it
		}
		return g.lastUse
	}, compareKeys)
	g := &group{level: k.level, class: class, lastUse: m.clock}
	m.groups[k] = g
	return g
}

// evictOldest deletes the least recently used entry if there are limit entries or more;
// of several with the same last use, the first by compare.
func evictOldest[K comparable, V any](m map[K]V, limit int, lastUse func(V) uint64, compare func(a, b K) int) {
	if len(m) < limit {
		return
	}
	var oldest K
	least, first := uint64(0), true
	for k, v := range m {
		use := lastUse(v)
		if first || use < least || use == least && compare(k, oldest) < 0 {
			oldest, least, first = k, use, false
		}
	}
	delete(m, oldest)
}
