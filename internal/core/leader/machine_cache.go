package leader

import (
	"hash/fnv"
	"slices"
	"strconv"

	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// machineCache TODO
type machineCache struct {
	*environment

	machinePages     [32]cachePage
	nextCachePage    int
	nextCacheWriteAt Micros
}

// Hints are what a leader knows of machines and a later one would have to learn
// anew: where they are and which images they have. They are proof of nothing.
// Many machines share a key, and a page that has changed is written when its
// turn comes: hints get a small part of the changes that the state service
// allows, whatever the size of the fleet.

const (
	machineCachePrefix    = job.KeyRoot + "machines/"
	machineCachePageCount = 32
	// machineCacheWriteShare is the part of all changes that hints may take.
	machineCacheWriteShare = 0.05
	// maxCachedImages bounds the images in a machine's hint.
	maxCachedImages = 16
)

// CachedMachine is what is stored of a machine, a format that live clusters share.
type CachedMachine struct {
	//lint:ignore U1000 read by the encoder: a hint is a list, to be short
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	Addr     string
	Type     string
	Zone     string
	Spot     bool
	Images   []string
}

type cachePage struct {
	version uint64
	names   []string
	changed bool // since it was written last
}

func cachePageOf(machine string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(machine))
	return int(h.Sum32() % machineCachePageCount)
}

// markCacheStale has a machine's hint written in its turn.
func (mc *machineCache) markCacheStale(name string) {
	mc.machinePages[cachePageOf(name)].changed = true
}

// writeMachineCache writes one page, now and then.
func (mc *machineCache) writeMachineCache() {
	if mc.outbox.Now() < mc.nextCacheWriteAt {
		return
	}
	n := -1
	for i := range machineCachePageCount {
		if k := (mc.nextCachePage + i) % machineCachePageCount; mc.machinePages[k].changed {
			n = k
			break
		}
	}
	if n < 0 {
		return
	}
	var hints []CachedMachine
	for _, m := range mc.reconciler.Registry().All() {
		if cachePageOf(m.Name) == n && !m.Releasing {
			hints = append(hints, CachedMachine{Name: m.Name, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
				Images: m.Images.Names()})
		}
	}
	p := &mc.machinePages[n]
	p.changed, mc.nextCachePage, mc.nextCacheWriteAt = false, n+1, mc.outbox.Now()+mc.encoding.IntervalForShare(machineCacheWriteShare)
	value := mc.fitCachePage(hints)
	if value == nil {
		return
	}
	mc.outbox.CommitDeferrable(wire.Transaction{
		Conditions: []wire.Condition{mc.elector.Condition()},
		Changes:    []wire.Change{{Put: machineCachePrefix + strconv.Itoa(n), Value: value}},
	}, msg.PurposeMachineCache, func(d msg.CommitDone) { p.changed = p.changed || d.Outcome != msg.OK })
}

// fitCachePage encodes hints so that they fit a value: images go first, then the
// youngest machines.
func (mc *machineCache) fitCachePage(hints []CachedMachine) []byte {
	for most := maxCachedImages; ; most /= 2 {
		for i := range hints {
			hints[i].Images = hints[i].Images[:min(len(hints[i].Images), most)]
		}
		value, err := job.Encode(hints)
		switch {
		case err != nil:
			return nil
		case mc.encoding.Fits(value):
			return value
		case most == 0:
			hints = hints[:len(hints)*7/8]
		}
	}
}

// applyCachePage takes a page. A leader that has begun knows better than what was
// written before.
func (mc *machineCache) applyCachePage(name string, ev *wire.Change) {
	n, err := strconv.Atoi(name)
	if err != nil || n < 0 || n >= machineCachePageCount || mc.ready || ev.Version <= mc.machinePages[n].version {
		return
	}
	p := &mc.machinePages[n]
	var hints []CachedMachine
	if ev.Put != "" && job.Decode(ev.Value, &hints) != nil {
		return
	}
	old := p.names
	p.version, p.names = ev.Version, nil
	for i := range hints {
		h := &hints[i]
		p.names = append(p.names, h.Name)
		m := mc.reconciler.EnsureMachine(h.Name)
		m.Images.Restore(h.Images)
		m.Describe(h.Addr, h.Type, h.Zone, h.Spot)
	}
	for _, gone := range old {
		if !slices.Contains(p.names, gone) {
			mc.reconciler.Registry().Remove(gone)
		}
	}
}
