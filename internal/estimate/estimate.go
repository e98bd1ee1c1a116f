// Package estimate predicts the run times of jobs from past runs of similar work, with prediction intervals and their
// observed coverage. It is deterministic: it reads no clock, does no I/O, and no result depends on the iteration order
// of a map. Durations are whole microseconds in the API and natural logarithms of seconds internally.
//
// Groups of similar work form a hierarchy, from all work down to the same image and shape. Each level corrects the
// estimate of the level above, weighted by its number of runs, and records the errors of its own earlier estimates. The
// bounds of an interval are quantiles of those errors, so that its coverage is correct by construction as long as the
// run times of the work don't change.
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
	UserEstimate              Micros // the user's estimate; 0 if there is none
	Machine                   string // the machine that it runs on; empty if it is not placed yet
}

// Level is the level of the hierarchy that an estimate is derived from.
type Level uint8

// The levels, from the widest to the narrowest. Unknown means that there is no estimate. User means that no group has
// enough past runs, so that the estimate is the user's.
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

// String returns the name of the level that is shown to users.
func (l Level) String() string { return levelNames[min(l, levels-1)] }

// Observation is the observed outcome of a run.
type Observation struct {
	Features
	Elapsed Micros // time spent on the work, without restarts and waiting
	// Done is true for a run that completed and was observed from its start. Otherwise the observation is censored:
	// the run time is greater than Elapsed.
	Done bool
}

// Settings bound the memory of a Model.
type Settings struct {
	// MaxGroups is the maximum number of groups of similar work, and also of classes with a recorded coverage. The least
	// recently used ones are evicted.
	MaxGroups   int
	MaxMachines int // maximum number of machines with a recorded speed; the least recently used ones are evicted
}

// DefaultSettings returns settings for a node with little memory.
func DefaultSettings() Settings { return Settings{MaxGroups: 512, MaxMachines: 4096} }

// groupKey identifies a group of similar work by its level and the features that its runs have in common.
type groupKey struct {
	level Level
	name  string // team, class or image
	shape string
}

// Model is the statistical model of run times. It is not safe for concurrent use.
type Model struct {
	settings  Settings
	epoch     uint64
	observed  uint64
	groups    map[groupKey]*group
	coverage  map[string]*coverage // by class
	machines  map[string]*speed
	clock     uint64 // logical clock, advanced by each observation; orders groups by last use, for eviction
	baseEpoch uint64 // the last epoch whose data is in the groups' base
	changes   int
}

// New returns an empty Model. The epoch distinguishes the data that it records from that of other epochs; a leader
// passes its fencing token. If a setting is not positive, DefaultSettings apply.
func New(s Settings, epoch uint64) *Model {
	if s.MaxGroups <= 0 || s.MaxMachines <= 0 {
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

// DetectedChanges returns the number of sudden changes of run times that were detected.
func (m *Model) DetectedChanges() int { return m.changes }

// Observed returns the number of runs that were recorded in this epoch.
func (m *Model) Observed() uint64 { return m.observed }

// keys returns, for each level, the key of the group that a run with these features belongs to.
func (f *Features) keys() [levels]groupKey {
	var k [levels]groupKey
	k[Everything] = groupKey{level: Everything}
	k[Team] = groupKey{Team, f.Team, ""}
	k[Class] = groupKey{Class, f.Class, ""}
	k[ClassShape] = groupKey{ClassShape, f.Class, f.Shape}
	k[ImageShape] = groupKey{ImageShape, f.Image, f.Shape}
	return k
}

// userEstimate is the logarithm of a user's estimate, if one is given.
type userEstimate struct {
	given      bool
	logSeconds float64
}

// minimumRunSeconds is the lower bound of run times, so that the logarithm of a run time near 0 is defined.
const minimumRunSeconds = 0.01

// Bounds of the logarithms of seconds that are converted to a duration: far beyond the run time of any run, and within
// the range of Micros.
const (
	minLogSeconds = -20
	maxLogSeconds = 25
)

// logSeconds converts a duration to the natural logarithm of its seconds.
func logSeconds(d Micros) float64 {
	return math.Log(math.Max(float64(d)/microsPerSecond, minimumRunSeconds))
}

// fromLogSeconds converts a natural logarithm of seconds to a duration.
func fromLogSeconds(y float64) Micros {
	return Micros(math.Round(math.Exp(math.Min(math.Max(y, minLogSeconds), maxLogSeconds)) * microsPerSecond))
}

// EachGroup calls f with the features of each group at the levels Class, ClassShape and ImageShape that has runs, in
// the order of level, name and shape, until f returns false.
func (m *Model) EachGroup(f func(Features) bool) {
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

// sortedGroups returns the keys of groups, sorted by compareKeys.
func sortedGroups(groups map[groupKey]*group) []groupKey {
	keys := make([]groupKey, 0, len(groups))
	for k := range groups {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

// group returns the group of a key. It creates the group if there is none, and evicts the least recently used one if
// the maximum number is reached.
func (m *Model) group(k groupKey, class string) *group {
	if g := m.groups[k]; g != nil {
		return g
	}
	evictOldest(m.groups, max(m.settings.MaxGroups, int(levels)), func(g *group) uint64 {
		if g.level == Everything {
			return math.MaxUint64 // never evicted, because every estimate uses it
		}
		return g.lastUse
	}, compareKeys)
	g := &group{level: k.level, class: class, lastUse: m.clock}
	m.groups[k] = g
	return g
}

// evictOldest deletes the least recently used entry if there are at least limit entries. Of several entries with the
// same last use, it deletes the first by compare.
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
