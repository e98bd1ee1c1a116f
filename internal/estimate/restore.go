package estimate

import (
	"cmp"
	"math"
	"slices"
)

// Restore returns a Model of a new epoch with the data of the chunks. The result doesn't depend on their order or on
// duplicates: of several chunks of the same epoch only the one with the most data is used, and the data of an epoch
// that is already contained in the base of a chunk is not added again.
func Restore(s Settings, epoch uint64, chunks ...*Chunk) *Model {
	m := New(s, epoch)
	m.baseEpoch = epoch - 1
	for n := range Chunks {
		m.restoreGroups(n, chunks)
	}
	m.restoreCoverage(chunks)
	m.restoreSpeeds(chunks)
	return m
}

// restoreGroups merges the groups of the n-th value from all chunks.
func (m *Model) restoreGroups(n int, chunks []*Chunk) {
	base, ownByEpoch := newestContributions(n, chunks)
	merged := []contribution{base}
	for _, own := range ownByEpoch {
		if base.groups == nil || own.epoch > base.epoch {
			merged = append(merged, own)
		}
	}
	slices.SortFunc(merged, func(a, b contribution) int { return cmp.Compare(a.epoch, b.epoch) })
	for _, c := range merged {
		for i := range c.groups {
			m.mergeGroup(&c.groups[i])
		}
	}
}

// contribution is a part of the data of a value: that of a single epoch, or that of all epochs up to it.
type contribution struct {
	epoch, observed uint64
	groups          []storedGroup
}

// newerThan reports whether c replaces another contribution of the same kind: by its epoch, then by its number of
// observed runs, then by its number of groups.
func (c *contribution) newerThan(other *contribution) bool {
	if c.epoch != other.epoch {
		return c.epoch > other.epoch
	}
	if c.observed != other.observed {
		return c.observed > other.observed
	}
	return len(c.groups) > len(other.groups)
}

// newestContributions returns the newest base of the n-th value among the chunks, and the newest data of each single
// epoch.
func newestContributions(n int, chunks []*Chunk) (base contribution, ownByEpoch map[uint64]contribution) {
	ownByEpoch = map[uint64]contribution{}
	for _, c := range chunks {
		if groups := groupsOfChunk(c.Base, n); len(groups) > 0 {
			candidate := contribution{c.UpTo, c.Seen, groups}
			if base.groups == nil || candidate.newerThan(&base) {
				base = candidate
			}
		}
		if groups := groupsOfChunk(c.Own, n); len(groups) > 0 {
			candidate := contribution{c.Epoch, c.Seen, groups}
			if known, ok := ownByEpoch[c.Epoch]; !ok || candidate.newerThan(&known) {
				ownByEpoch[c.Epoch] = candidate
			}
		}
	}
	return base, ownByEpoch
}

// groupsOfChunk returns the groups that belong to the n-th value.
func groupsOfChunk(groups []storedGroup, n int) (selected []storedGroup) {
	for _, g := range groups {
		if chunkIndex(groupKey{Level(g.Level), g.Name, g.Shape}) == n {
			selected = append(selected, g)
		}
	}
	return selected
}

// mergeGroup adds the data of a stored group. Only data of the latest generation is kept: that since the last sudden
// change.
func (m *Model) mergeGroup(s *storedGroup) {
	k, t, err := s.restore()
	if err != nil {
		return // not reached for a decoded chunk, which Decode has validated
	}
	m.clock = max(m.clock, s.LastUse)
	g := m.group(k, s.Class)
	g.lastUse = max(g.lastUse, s.LastUse)
	switch {
	case s.Generation < g.generation:
		return
	case s.Generation > g.generation:
		g.tally = tally{}
		g.base = tally{}
		g.generation = s.Generation
		g.detectedChange = s.DetectedChange
	}
	g.detectedChange = g.detectedChange || s.DetectedChange
	g.combine(&t, 1)
	g.base = g.tally
	g.rebuildDistribution()
}

// mergeable is a stored value of which several chunks may contain a version, identified by its name.
type mergeable[T any] interface {
	name() string
	preferredTo(other T) bool // reports whether it replaces another value of the same name
}

// preferredByName returns, for each name, the preferred one of the values in the chunks. A value that is not preferred
// to the zero value is left out.
func preferredByName[T mergeable[T]](chunks []*Chunk, values func(*Chunk) []T) map[string]T {
	preferred := map[string]T{}
	for _, c := range chunks {
		for _, stored := range values(c) {
			if stored.preferredTo(preferred[stored.name()]) {
				preferred[stored.name()] = stored
			}
		}
	}
	return preferred
}

// restoreCoverage restores the coverage with the most outcomes of each class, up to the maximum number of groups.
func (m *Model) restoreCoverage(chunks []*Chunk) {
	preferred := preferredByName(chunks, func(c *Chunk) []storedCoverage { return c.Trust })
	for class, stored := range preferred {
		if len(m.coverage) >= m.settings.MaxGroups || stored.Outcomes == 0 {
			continue
		}
		restored := &coverage{outcomes: float64(stored.Outcomes)}
		for i, covered := range stored.Covered {
			restored.covered[i] = math.Min(float64(covered), restored.outcomes)
		}
		m.coverage[class] = restored
	}
}

func (s storedCoverage) name() string { return s.Class }

// preferredTo reports whether the coverage has more outcomes than another of the same class; covered counts break ties.
func (s storedCoverage) preferredTo(other storedCoverage) bool {
	return cmp.Or(cmp.Compare(s.Outcomes, other.Outcomes), slices.Compare(s.Covered[:], other.Covered[:])) > 0
}

// restoreSpeeds restores the speed with the most runs of each machine, up to the maximum number of machines.
func (m *Model) restoreSpeeds(chunks []*Chunk) {
	preferred := preferredByName(chunks, func(c *Chunk) []storedSpeed { return c.Speeds })
	for name, stored := range preferred {
		if len(m.machines) >= m.settings.MaxMachines || stored.N == 0 {
			continue
		}
		m.machines[name] = &speed{
			n:      float64(stored.N),
			sum:    float64(stored.Sum) / 1000,
			spread: math.Max(float64(stored.Spread)/1000, 0),
		}
	}
}

func (s storedSpeed) name() string { return s.Machine }

// preferredTo reports whether the speed has more runs than another of the same machine; the sums and spreads break
// ties.
func (s storedSpeed) preferredTo(other storedSpeed) bool {
	return cmp.Or(cmp.Compare(s.N, other.N), cmp.Compare(s.Sum, other.Sum), cmp.Compare(s.Spread, other.Spread)) > 0
}
