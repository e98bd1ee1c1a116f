package estimate

import (
	"math"
	"slices"
	"strings"
)

const (
	// Errors are counted in bins of a sixteenth of a natural logarithm, 6%.
	binsPer = 16
	bins    = 128 // from -4 to 4: a fiftieth to fifty times
	// memory is how many runs a kind of work remembers: beyond it, all counts are
	// halved, so that the newest half weighs as much as all before.
	memory = 400
	// unit is the grain of the sums, in natural logarithms. Whole numbers add up to
	// the same in any order.
	unit = 1e-4
)

// tally is what adds up: whole numbers alone, so that it can be merged in any order.
type tally struct {
	N, Y         int64 // runs, and the sum of the logarithms of their run times
	Nx           int64 // those that came with an owner's estimate:
	X, Yx        int64 // sums of the logarithms of estimate and run time
	XX, XY       int64 // and of their products, in thousandths
	Ends, Longer [bins]uint16
	Errors       int64 // how many errors are counted in Ends
}

// group is one kind of work.
type group struct {
	tally
	base  tally // the part of it that earlier epochs have learnt
	level Level
	class string
	gen   uint32 // counts the sudden changes
	alone bool   // it noticed the last one: what lies above is of the time before
	used  uint64

	errors float64 // what the curve was made of
	curve  curve
	stale  int // errors counted since then
	change detector
}

func (g *group) n() float64 { return float64(g.N) }

// pull is how much the estimate above weighs, in runs.
func (g *group) pull() float64 {
	switch {
	case g.alone:
		return weight[g.level] / 20
	case g.gen > 0: // what lies above has noticed a change and knows more of the new kind
		return 6 * weight[g.level]
	}
	return weight[g.level]
}

// doubt is by how much the errors are stretched: after a change, until enough is known
// of the new kind.
func (g *group) doubt() float64 {
	if g.gen == 0 {
		return 1
	}
	return 1 + 1.5*math.Max(0, 1-g.errors/leastErrors)
}

func grains(y float64) int64 { return int64(math.Round(y / unit)) }

// add counts a run.
func (g *group) add(y float64, x owners) {
	if g.N >= memory {
		g.halve()
		g.base.halve()
	}
	t := &g.tally
	t.N++
	t.Y += grains(y)
	if x.given {
		t.Nx++
		t.X += grains(x.log)
		t.Yx += grains(y)
		t.XX += grains(x.log * x.log)
		t.XY += grains(x.log * y)
	}
}

func (t *tally) halve() {
	for _, v := range []*int64{&t.N, &t.Y, &t.Nx, &t.X, &t.Yx, &t.XX, &t.XY} {
		*v /= 2
	}
	t.Errors = 0
	for i := range t.Ends {
		t.Ends[i] /= 2
		t.Longer[i] /= 2
		t.Errors += int64(t.Ends[i])
	}
}

// plus adds what another has counted, or with -1 takes it away.
func (t *tally) plus(o *tally, sign int64) {
	for _, v := range [][2]*int64{{&t.N, &o.N}, {&t.Y, &o.Y}, {&t.Nx, &o.Nx}, {&t.X, &o.X}, {&t.Yx, &o.Yx}, {&t.XX, &o.XX}, {&t.XY, &o.XY}} {
		*v[0] += sign * *v[1]
	}
	t.Errors = 0
	for i := range t.Ends {
		t.Ends[i] = bounded(int64(t.Ends[i]) + sign*int64(o.Ends[i]))
		t.Longer[i] = bounded(int64(t.Longer[i]) + sign*int64(o.Longer[i]))
		t.Errors += int64(t.Ends[i])
	}
}

func bounded(n int64) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// slopeRuns is how many runs of usual spread a slope has to speak against before it
// leaves that of an owner who is right in proportion.
const (
	slopeRuns   = 8
	slopeSpread = 0.16 // variance of the logarithm of estimates
)

// predict tells the run time's logarithm for an owner's estimate.
func (g *group) predict(x owners) float64 {
	mean := float64(g.Y) * unit / g.n()
	if !x.given || g.Nx == 0 {
		return mean
	}
	n := float64(g.Nx)
	mx, my := float64(g.X)*unit/n, float64(g.Yx)*unit/n
	sxx := math.Max(float64(g.XX)*unit-n*mx*mx, 0)
	sxy := float64(g.XY)*unit - n*mx*my
	slope := (sxy + slopeRuns*slopeSpread) / (sxx + slopeRuns*slopeSpread)
	slope = math.Min(math.Max(slope, 0), 1.2)
	return my + slope*(x.log-mx)
}

func binOf(r float64) int {
	if math.IsNaN(r) {
		return bins / 2
	}
	return int(math.Min(math.Max(math.Floor(r*binsPer)+bins/2, 0), bins-1))
}

// miss counts by how much a statement was off.
func (g *group) miss(r float64, done bool) {
	b := binOf(r)
	if g.Errors >= memory {
		g.halve()
		g.base.halve()
	}
	if done {
		if g.Ends[b] < math.MaxUint16 {
			g.Ends[b]++
			g.Errors++
		}
	} else if g.Longer[b] < math.MaxUint16 {
		g.Longer[b]++
	}
	// What has hundreds changes little by one more.
	if g.stale++; g.stale > int(g.errors)/16 {
		g.reckon()
	}
}

// reckon makes the curve of errors. Runs that were cut off count by how much of the
// rest goes beyond them (Kaplan and Meier, 1958).
func (g *group) reckon() {
	g.stale, g.errors = 0, float64(g.Errors)
	if g.Errors == 0 {
		return
	}
	atRisk := 0.0
	for i := range g.Ends {
		atRisk += float64(g.Ends[i]) + float64(g.Longer[i])
	}
	// Few samples leave the outer quantiles open: they are stretched accordingly.
	stretch := 1 + 1.5/float64(g.Errors)
	left, before, p := 1.0, 0.0, 0
	last := 0.0
	for i := 0; i < bins && p < len(points); i++ {
		ends := float64(g.Ends[i])
		if atRisk > 0 && ends > 0 {
			left *= 1 - ends/atRisk
			last = (float64(i-bins/2) + 1) / binsPer
		}
		atRisk -= ends + float64(g.Longer[i])
		below := 1 - left
		for p < len(points) && below >= points[p]-1e-12 {
			part := 1.0
			if below > before {
				part = (points[p] - before) / (below - before)
			}
			g.curve[p] = (float64(i-bins/2) + math.Max(part, 0)) / binsPer
			p++
		}
		before = below
	}
	for ; p < len(points); p++ { // beyond the last end only runs that were cut off
		g.curve[p] = last + 0.3*float64(p-middle)
		if p > 0 {
			g.curve[p] = math.Max(g.curve[p], g.curve[p-1])
		}
	}
	mid := g.curve[middle]
	shift := mid * float64(g.Errors) / (float64(g.Errors) + 20) // the location has been learnt already
	for i := range g.curve {
		g.curve[i] = shift + (g.curve[i]-mid)*stretch
	}
}

// speed is what is known of a machine's speed: the mean of how much longer its runs
// took than stated.
type speed struct {
	n, sum, spread float64
	used           uint64
}

const (
	speedRuns = 32  // that weigh
	speedSure = 2.5 // deviations that a machine has to be off
)

// slowness is the logarithm of how many times as long as usual runs take on a machine,
// 0 unless it is known to be off.
func (m *Model) slowness(machine string) float64 {
	if machine == "" {
		return 0
	}
	s := m.machines[machine]
	if s == nil {
		return 0
	}
	return s.slowness()
}

func (s *speed) slowness() float64 {
	if s.n < 3 {
		return 0
	}
	mean := s.sum / s.n
	if math.Abs(mean) < speedSure*math.Max(s.spread, 0.05)/math.Sqrt(s.n) {
		return 0
	}
	return mean * s.n / (s.n + 1)
}

// Slowness is how many times as long as usual runs take on a machine; 1 unless it is
// known to be off.
func (m *Model) Slowness(machine string) float64 { return math.Exp(m.slowness(machine)) }

// learnSpeed takes by how much a run on a machine was off; spread is the width of the
// 0.8 interval stated for it.
func (m *Model) learnSpeed(machine string, r, spread float64) {
	s := m.machines[machine]
	if s == nil {
		makeRoom(m.machines, m.settings.Machines, func(s *speed) uint64 { return s.used }, strings.Compare)
		s = &speed{}
		m.machines[machine] = s
	}
	if s.n >= speedRuns {
		s.n, s.sum = s.n/2, s.sum/2
	}
	s.n++
	s.sum += math.Min(math.Max(r, -2), 3)
	s.spread += (spread/2.56 - s.spread) / math.Min(s.n, 8) // 0.8 of a normal distribution
	s.used = m.clock
}

// detector tells a sudden change from noise: two sums of log-likelihood ratios (Page,
// 1954), one that the ranks of new errors among the old ones have moved up and one that
// they have moved down. Under no change a false alarm comes after exp(alarm) = 665 ends
// at least, in the mean, for each side.
type detector struct {
	Up, Down float64
	recent   [recents]past
	next     int
}

const (
	recents = 8
	alarm   = 6.5
	// steep is the exponent of the density that a change is thought to give the
	// ranks: steep*u^(steep-1).
	steep = 4.0
	// leastMove is how far a run has to be off to speak for a change at all: 16%.
	leastMove = 0.15
	// leastErrors is how many errors have to be known before their ranks say anything.
	leastErrors = 10
)

// past is a run that may belong to the time after a change.
type past struct {
	y, r float64
	x    owners
}

// rank is the part of earlier errors below r.
func (g *group) rank(r float64) float64 {
	b := binOf(r)
	below := 0.0
	for i := range b {
		below += float64(g.Ends[i])
	}
	below += float64(g.Ends[b]) / 2
	return (below + 0.5) / (float64(g.Errors) + 1)
}

// suddenly tells whether the work has changed with this end.
func (g *group) suddenly(r, y float64, x owners) bool {
	if g.level < Class || g.Errors < leastErrors {
		return false
	}
	d := &g.change
	u := g.rank(r)
	if math.Abs(r) < leastMove {
		u = 0.5 // work that always takes the same is not changed by a few per cent
	}
	d.recent[d.next] = past{y, r, x}
	d.next = (d.next + 1) % recents
	move := func(sum, u float64) float64 { return math.Max(0, sum+math.Log(steep)+(steep-1)*math.Log(u)) }
	d.Up, d.Down = move(d.Up, u), move(d.Down, 1-u)
	return max(d.Up, d.Down) > alarm
}

// restart forgets what was learnt before a change. The one that noticed keeps the runs
// since it began.
func (g *group) restart(keep bool) {
	d := g.change
	g.tally, g.base, g.curve, g.errors, g.stale, g.change = tally{}, tally{}, curve{}, 0, 0, detector{}
	g.gen++
	if g.alone = keep; !keep {
		return
	}
	last := func(i int) past { return d.recent[(d.next-i+recents)%recents] }
	moved := []float64{last(1).r, last(2).r, last(3).r}
	slices.Sort(moved)
	for i := 1; i <= recents; i++ { // the newest first
		if r := last(i).r; i > 1 && r/moved[1] < sided {
			return
		}
		g.add(last(i).y, last(i).x)
	}
}

// sided is the part of the move by which an error has to be off to belong to the time
// after a change.
const sided = 0.6
