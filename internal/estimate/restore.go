package estimate

import (
	"cmp"
	"math"
	"slices"
)

// Restore returns a Model of a new epoch that knows what the chunks contain, in whichever
// order they come and however often: of several chunks of one epoch the one with the most
// evidence counts, and what one of them has taken over from an epoch is not added again.
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

// restoreGroups merges what the chunks contain of the groups of the n-th value.
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

// contribution is the evidence of one origin: of an epoch itself, or of all epochs up to it.
type contribution struct {
	epoch, observed uint64
	groups          []storedGroup
}

// newer orders contributions of the same kind.
func (c *contribution) newer(other *contribution) bool {
	if c.epoch != other.epoch {
		return c.epoch > other.epoch
	}
	if c.observed != other.observed {
		return c.observed > other.observed
	}
	return len(c.groups) > len(other.groups)
}

// newestContributions returns the newest base that the chunks contain for the n-th value,
// and the newest evidence of each epoch itself.
func newestContributions(n int, chunks []*Chunk) (base contribution, ownByEpoch map[uint64]contribution) {
	ownByEpoch = map[uint64]contribution{}
	for _, c := range chunks {
		if groups := groupsOfChunk(c.Base, n); len(groups) > 0 {
			candidate := contribution{c.UpTo, c.Seen, groups}
			if base.groups == nil || candidate.newer(&base) {
				base = candidate
			}
		}
		if groups := groupsOfChunk(c.Own, n); len(groups) > 0 {
			candidate := contribution{c.Epoch, c.Seen, groups}
			if known, ok := ownByEpoch[c.Epoch]; !ok || candidate.newer(&known) {
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

// mergeGroup adds the evidence of a stored group. After a sudden change only the evidence
// since the change counts.
func (m *Model) mergeGroup(s *storedGroup) {
	k, t, err := s.restore()
	if err != nil {
		return // Decode has checked it
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
		g.noticedChange = s.NoticedChange
	}
	g.noticedChange = g.noticedChange || s.NoticedChange
	g.combine(&t, 1)
	g.base = g.tally
	g.rebuildDistribution()
}

// evidence is a stored value of which several chunks may hold versions, under one name.
type evidence[T any] interface {
	name() string
	fuller(other T) bool // whether it is to be preferred to another value of the same name
}

// fullestByName returns the fullest of the values that the chunks contain under each name. A value that is
// not fuller than the zero value is left out.
func fullestByName[T evidence[T]](chunks []*Chunk, values func(*Chunk) []T) map[string]T {
	fullest := map[string]T{}
	for _, c := range chunks {
		for _, stored := range values(c) {
			if stored.fuller(fullest[stored.name()]) {
				fullest[stored.name()] = stored
			}
		}
	}
	return fullest
}

// restoreCoverage takes the fullest coverage of each class, for as many as are allowed.
func (m *Model) restoreCoverage(chunks []*Chunk) {
	fullest := fullestByName(chunks, func(c *Chunk) []storedTrust { return c.Trust })
	for class, stored := range fullest {
		if len(m.coverage) >= m.settings.Groups || stored.Stated == 0 {
			continue
		}
		restored := &coverage{stated: float64(stored.Stated)}
		for i, covered := range stored.Inside {
			restored.covered[i] = math.Min(float64(covered), restored.stated)
		}
		m.coverage[class] = restored
	}
}

func (s storedTrust) name() string { return s.Class }

// fuller reports whether the coverage is to be preferred to another of the same class.
func (s storedTrust) fuller(other storedTrust) bool {
	return cmp.Or(cmp.Compare(s.Stated, other.Stated), slices.Compare(s.Inside[:], other.Inside[:])) > 0
}

// restoreSpeeds takes the fullest speed of each machine, for as many as are allowed.
func (m *Model) restoreSpeeds(chunks []*Chunk) {
	fullest := fullestByName(chunks, func(c *Chunk) []storedSpeed { return c.Speeds })
	for name, stored := range fullest {
		if len(m.machines) >= m.settings.Machines || stored.N == 0 {
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

// fuller reports whether the speed is to be preferred to another of the same machine.
func (s storedSpeed) fuller(other storedSpeed) bool {
	return cmp.Or(cmp.Compare(s.N, other.N), cmp.Compare(s.Sum, other.Sum), cmp.Compare(s.Spread, other.Spread)) > 0
}
