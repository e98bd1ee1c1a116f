// Package estimate learns how long work runs from past runs of similar work, and
// says how far each estimate can be trusted. It is deterministic: no clock, no I/O,
// nothing depends on the order of a map. Durations are whole microseconds outside and
// natural logarithms of seconds inside.
//
// Similar work is a hierarchy, from everything down to the same image and shape. Each
// level corrects the estimate of the one above by as much as its evidence is worth,
// and keeps how far off it was: a stated interval is made of the errors of earlier
// statements, so what it covers is right by construction as long as the work doesn't
// change. See docs/notes/estimates.md.
package estimate

import (
	"math"
	"slices"
	"strings"
)

// Micros is a duration in whole microseconds.
type Micros = int64

// Features are what an estimate goes by.
type Features struct {
	Image, Shape, Class, Team string
	Expect                    Micros // the owner's estimate; 0: none
	Machine                   string // where it runs; "": not known yet
}

// Level names how similar the work was that an estimate came from.
type Level uint8

// The levels, from the widest to the narrowest. Owner means that nothing has been
// learnt: the owner's estimate alone.
const (
	Unknown Level = iota
	Owner
	Everything
	Team
	Class
	ClassShape
	ImageShape
	levels
)

var levelNames = [levels]string{"unknown", "owner", "everything", "team", "class", "class and shape", "image and shape"}

func (l Level) String() string { return levelNames[min(l, levels-1)] }

// Intervals are the parts of runs that the three intervals are to hold.
var Intervals = [3]float64{0.5, 0.8, 0.95}

// points are the probabilities whose quantiles a level keeps.
var points = [...]float64{0.025, 0.1, 0.25, 0.5, 0.75, 0.9, 0.975}

const middle = 3 // the median among points

// Answer is an estimate of a run time.
type Answer struct {
	Level   Level // Unknown: nothing can be said
	Median  Micros
	Low     [3]Micros // of Intervals
	High    [3]Micros
	Samples float64 // effective number of runs that the level knows of
	// Trust is the part of recent outcomes that fell into the intervals stated for
	// them; negative as long as too few were stated.
	Trust [3]float64

	curve curve
}

// curve is a distribution of the logarithm of a run time, by its quantiles at points.
type curve [len(points)]float64

// Evidence is how a run ended.
type Evidence struct {
	Features
	Ran  Micros // work done, restarts and waits left out
	Done bool   // false: it ended otherwise, or was not seen whole; it takes longer
}

// Settings bound a Model.
type Settings struct {
	Groups   int // kinds of work known at a time
	Machines int // machines whose speed is known
}

// DefaultSettings suit a node with little memory.
func DefaultSettings() Settings { return Settings{Groups: 512, Machines: 4096} }

type key struct {
	level Level
	a, b  string
}

// Model is what has been learnt.
type Model struct {
	settings Settings
	epoch    uint64
	seen     uint64
	groups   map[key]*group
	trust    map[string]*trust // by class
	machines map[string]*speed
	clock    uint64 // counts uses, for eviction
	upTo     uint64 // the last epoch whose evidence is in the groups' base
	changes  int
}

// New returns a Model that has learnt nothing. What it learns is told from what other
// epochs have learnt: a leader takes its token.
func New(s Settings, epoch uint64) *Model {
	if s.Groups <= 0 || s.Machines <= 0 {
		s = DefaultSettings()
	}
	return &Model{settings: s, epoch: epoch, groups: map[key]*group{}, trust: map[string]*trust{}, machines: map[string]*speed{}}
}

// Changes counts the sudden changes that were found.
func (m *Model) Changes() int { return m.changes }

func (f *Features) keys() [levels]key {
	var k [levels]key
	k[Everything] = key{level: Everything}
	k[Team] = key{Team, f.Team, ""}
	k[Class] = key{Class, f.Class, ""}
	k[ClassShape] = key{ClassShape, f.Class, f.Shape}
	k[ImageShape] = key{ImageShape, f.Image, f.Shape}
	return k
}

// weight is how many runs of a level are worth as much as all that lies above it. A
// team says little of its next job: its work is of many kinds.
var weight = [levels]float64{Everything: 1, Team: 12, Class: 2, ClassShape: 2, ImageShape: 2}

// errorsWeight is the same for the errors of its statements.
const errorsWeight = 6

// leastSamples is from how many runs on an answer names a level as its own.
const leastSamples = 4

// logOf turns a duration into a logarithm of seconds. What ends at once counts as a
// hundredth of a second.
func logOf(d Micros) float64 { return math.Log(math.Max(float64(d)/1e6, 0.01)) }

func ofLog(y float64) Micros {
	return Micros(math.Round(math.Exp(math.Min(math.Max(y, -20), 25)) * 1e6))
}

// ownerErrors is how far owners' estimates are thought to be off before any was seen.
var ownerErrors = curve{-1.6, -1, -0.5, 0, 0.5, 1, 1.6}

// owners is the logarithm of an owner's estimate, if there is one.
type owners struct {
	given bool
	log   float64
}

// step is the estimate at one level: a location, and the errors around it.
type step struct {
	at    float64
	errs  curve
	known bool
}

// at walks down the levels. It calls visit, if that isn't nil, with the estimate that
// each level had before it is improved by the next.
func (m *Model) walk(f *Features, visit func(l Level, g *group, s step)) (s step, last Level, samples float64) {
	if f.Expect > 0 {
		s, last = step{at: logOf(f.Expect), errs: ownerErrors, known: true}, Owner
	}
	x := owners{f.Expect > 0, s.at}
	keys := f.keys()
	for l := Everything; l < levels; l++ {
		g := m.groups[keys[l]]
		if g == nil || g.n() == 0 {
			if visit != nil {
				visit(l, g, s)
			}
			continue
		}
		at, n := g.predict(x), g.n()
		if s.known {
			w := n / (n + g.pull())
			at = w*at + (1-w)*s.at
		}
		errs := s.errs
		if !s.known {
			errs = ownerErrors
		}
		if g.errors > 0 {
			w := g.errors / (g.errors + errorsWeight)
			for i := range errs {
				errs[i] = w*g.curve[i] + (1-w)*errs[i]
			}
		}
		if by, mid := g.doubt(), errs[middle]; by > 1 {
			for i := range errs {
				errs[i] = mid + (errs[i]-mid)*by
			}
		}
		s = step{at, errs, true}
		if visit != nil {
			visit(l, g, s)
		}
		if n >= leastSamples || last == Unknown || last == Owner && n >= 1 && l >= Class {
			last, samples = l, n
		}
	}
	return s, last, samples
}

// Estimate tells how long work with these features will run.
func (m *Model) Estimate(f *Features) Answer {
	s, level, samples := m.walk(f, nil)
	a := Answer{Level: level, Samples: samples, Trust: [3]float64{-1, -1, -1}}
	if level == Unknown {
		return a
	}
	at := s.at + m.slowness(f.Machine)
	for i := range s.errs {
		a.curve[i] = at + s.errs[i]
	}
	a.fill()
	if t := m.trust[f.Class]; t != nil {
		a.Trust = t.shares()
	}
	return a
}

func (a *Answer) fill() {
	a.Median = ofLog(a.curve[middle])
	for i := range Intervals {
		a.Low[i], a.High[i] = ofLog(a.curve[middle-1-i]), ofLog(a.curve[middle+1+i])
	}
}

// Left is what remains of the run time when the work has run for so long already.
func (a *Answer) Left(ran Micros) Answer {
	if a.Level == Unknown || ran <= 0 {
		return *a
	}
	out := *a
	passed := a.curve.below(logOf(ran))
	for i, p := range points {
		total := a.curve.quantile(passed + p*(1-passed))
		out.curve[i] = logOf(max(ofLog(total)-ran, 10_000))
	}
	for i := 1; i < len(out.curve); i++ {
		out.curve[i] = max(out.curve[i], out.curve[i-1])
	}
	out.fill()
	return out
}

// Overdue tells whether work that has run for so long has left its widest interval.
func (a *Answer) Overdue(ran Micros) bool { return a.Level != Unknown && ran > a.High[len(a.High)-1] }

// Within is the probability that the run takes no longer than d.
func (a *Answer) Within(d Micros) float64 {
	if a.Level == Unknown {
		return math.NaN()
	}
	if d <= 0 {
		return 0
	}
	return a.curve.below(logOf(d))
}

// Quantile is the run time that is not exceeded with probability p.
func (a *Answer) Quantile(p float64) Micros { return ofLog(a.curve.quantile(p)) }

// tail is how far beyond the outermost quantile the distribution goes on, as a part
// of the last stretch for each halving of what is left.
func (c *curve) tail() float64 {
	last := len(c) - 1
	return math.Max((c[last]-c[last-1])/2, 0.02) // two halvings from 0.9 to 0.975
}

// quantile interpolates between the points; beyond them the tails fall off
// exponentially.
func (c *curve) quantile(p float64) float64 {
	p = math.Min(math.Max(p, 1e-6), 1-1e-6)
	last := len(points) - 1
	switch {
	case p <= points[0]:
		return c[0] + math.Max((c[1]-c[0])/2, 0.02)*math.Log2(p/points[0])
	case p >= points[last]:
		return c[last] + c.tail()*math.Log2((1-points[last])/(1-p))
	}
	i := 1
	for points[i] < p {
		i++
	}
	return c[i-1] + (c[i]-c[i-1])*(p-points[i-1])/(points[i]-points[i-1])
}

// below is the probability of less than y.
func (c *curve) below(y float64) float64 {
	last := len(points) - 1
	switch {
	case y <= c[0]:
		return points[0] * math.Exp2((y-c[0])/math.Max((c[1]-c[0])/2, 0.02))
	case y >= c[last]:
		return 1 - (1-points[last])*math.Exp2(-(y-c[last])/c.tail())
	}
	i := 1
	for c[i] < y {
		i++
	}
	if c[i] == c[i-1] {
		return points[i]
	}
	return points[i-1] + (points[i]-points[i-1])*(y-c[i-1])/(c[i]-c[i-1])
}

// Observe learns from the end of a run.
func (m *Model) Observe(e *Evidence) {
	if e.Ran <= 0 {
		return
	}
	m.clock++
	m.seen++
	slow := m.slowness(e.Machine)
	y := logOf(e.Ran) - slow
	keys := e.keys()
	x := owners{}
	if e.Expect > 0 {
		x = owners{true, logOf(e.Expect)}
	}
	var found Level
	s, level, _ := m.walk(&e.Features, func(l Level, g *group, s step) {
		if g == nil {
			g = m.group(keys[l], e.Class)
		}
		g.used = m.clock
		if s.known {
			r := y - s.at
			if e.Done && g.suddenly(r, y, x) && found == Unknown {
				found = l
			}
			g.miss(r, e.Done)
		}
		if e.Done {
			g.add(y, x)
		} else if s.known {
			if longer, ok := s.given(y); ok {
				g.add(longer, x)
			}
		}
	})
	if found >= Class {
		m.reset(found, keys, e.Class)
	}
	if e.Done && level > Owner {
		m.score(e.Class, y-s.at, &s.errs)
		if e.Machine != "" {
			m.learnSpeed(e.Machine, y-s.at+slow, s.errs[middle+2]-s.errs[middle-2])
		}
	}
}

// given is the median of what a run takes that has gone on to y. It returns false
// if that says nothing new: runs of this kind mostly take far longer.
func (s *step) given(y float64) (float64, bool) {
	c := s.errs
	for i := range c {
		c[i] += s.at
	}
	passed := c.below(y)
	if passed < 0.2 {
		return 0, false
	}
	return c.quantile(passed + (1-passed)/2), true
}

// reset sets back what was learnt of work that has changed: at the level that noticed,
// and at the narrower ones of the same class. What came since the change began is kept.
func (m *Model) reset(l Level, keys [levels]key, class string) {
	m.changes++
	for k, g := range m.groups { // each is handled by itself: the order is of no account
		if k == keys[l] || g.class == class && k.level > l {
			g.restart(k == keys[l])
		}
	}
}

// Observed tells how many runs were learnt from in this epoch.
func (m *Model) Observed() uint64 { return m.seen }

// group returns a kind of work, made if need be in the place of the one that was not
// used for the longest time.
func (m *Model) group(k key, class string) *group {
	if g := m.groups[k]; g != nil {
		return g
	}
	makeRoom(m.groups, max(m.settings.Groups, int(levels)), func(g *group) uint64 {
		if g.level == Everything {
			return math.MaxUint64 // always of use
		}
		return g.used
	}, compareKeys)
	g := &group{level: k.level, class: class, used: m.clock}
	m.groups[k] = g
	return g
}

// makeRoom drops what was used last before all else, of several the first, if there are as
// many as there may be.
func makeRoom[K comparable, V any](m map[K]V, most int, used func(V) uint64, compare func(a, b K) int) {
	if len(m) < most {
		return
	}
	var oldest K
	least, first := uint64(0), true
	for k, v := range m {
		if u := used(v); first || u < least || u == least && compare(k, oldest) < 0 {
			oldest, least, first = k, u, false
		}
	}
	delete(m, oldest)
}

// score notes whether an outcome fell into the intervals stated for it: by how much it
// was off, and by how much such statements are.
func (m *Model) score(class string, off float64, errs *curve) {
	t := m.trust[class]
	if t == nil {
		makeRoom(m.trust, m.settings.Groups, func(t *trust) uint64 { return t.used }, strings.Compare)
		t = &trust{}
		m.trust[class] = t
	}
	t.used = m.clock
	t.note(off, errs)
}

// trust counts which part of recent outcomes fell into the intervals stated for them.
type trust struct {
	stated float64
	inside [3]float64
	used   uint64
}

const trustWindow = 128

func (t *trust) note(r float64, errs *curve) {
	if t.stated >= trustWindow {
		t.stated /= 2
		for i := range t.inside {
			t.inside[i] /= 2
		}
	}
	t.stated++
	for i := range t.inside {
		if r >= errs[middle-1-i] && r <= errs[middle+1+i] {
			t.inside[i]++
		}
	}
}

func (t *trust) shares() [3]float64 {
	var out [3]float64
	for i := range out {
		out[i] = -1
		if t.stated >= leastSamples {
			out[i] = t.inside[i] / t.stated
		}
	}
	return out
}

// Kinds calls f for the features of each kind of work that is known by class at least,
// until it returns false.
func (m *Model) Kinds(f func(Features) bool) {
	for _, k := range sortedGroups(m.groups) {
		g := m.groups[k]
		var kind Features
		switch k.level {
		case Class:
			kind = Features{Class: k.a}
		case ClassShape:
			kind = Features{Class: k.a, Shape: k.b}
		case ImageShape:
			kind = Features{Class: g.class, Image: k.a, Shape: k.b}
		default:
			continue
		}
		if g.N > 0 && !f(kind) {
			return
		}
	}
}

// Slow calls f for the machines that are known to take so many times as long as usual,
// or longer, in the order of their names.
func (m *Model) Slow(times float64, f func(machine string)) {
	var slow []string
	for name, s := range m.machines {
		if s.slowness() >= math.Log(times) {
			slow = append(slow, name)
		}
	}
	slices.Sort(slow)
	for _, name := range slow {
		f(name)
	}
}

func compareKeys(a, b key) int {
	switch {
	case a.level != b.level:
		return int(a.level) - int(b.level)
	case a.a != b.a:
		if a.a < b.a {
			return -1
		}
		return 1
	case a.b < b.b:
		return -1
	case a.b > b.b:
		return 1
	}
	return 0
}

func sortedGroups(groups map[key]*group) []key {
	keys := make([]key, 0, len(groups))
	for k := range groups {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}
