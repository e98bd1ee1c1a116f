package leader

import (
	"hash/fnv"
	"slices"
	"strconv"

	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// The machine cache stores what a leader knows of machines and a successor would have to learn
// anew: where they are and which images they have. It proves nothing about their state.
// Many machines share a key, and the pages that have changed are written round-robin:
// the cache gets a small share of the changes that the key-value store
// allows, whatever the size of the fleet.

const (
	machineCachePrefix    = job.KeyRoot + "machines/"
	machineCachePageCount = 32
	// machineCacheWriteShare is the share of all changes that the cache may take.
	machineCacheWriteShare = 0.05
	// maxCachedImages bounds the images that are stored of a machine.
	maxCachedImages = 16
)

// machineCache writes the pages of the machine cache while this node leads, and restores machines from
// them before that.
type machineCache struct {
	*environment

	machinePages     [machineCachePageCount]cachePage
	nextCachePage    int // at which the search for a changed page begins
	nextCacheWriteAt Micros
}

// CachedMachine is what is stored of a machine, in a format that nodes of different versions share.
type CachedMachine struct {
	//lint:ignore U1000 read by the encoder: a machine is stored as an array, to be short
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	Addr     string
	Type     string
	Zone     string
	Spot     bool
	Images   []string
}

// cachePage is a page of the cache as this node knows it.
type cachePage struct {
	version uint64   // that was applied last
	names   []string // the machines in that version
	changed bool     // since this node wrote it last
}

func cachePageOf(machine string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(machine))
	return int(h.Sum32() % machineCachePageCount)
}

// markCacheStale has the page of a machine written when it is due.
func (mc *machineCache) markCacheStale(name string) {
	mc.machinePages[cachePageOf(name)].changed = true
}

// writeMachineCache writes the next changed page, if the cache's share of changes allows it.
func (mc *machineCache) writeMachineCache() {
	if mc.outbox.Now() < mc.nextCacheWriteAt {
		return
	}
	n, ok := mc.nextChangedPage()
	if !ok {
		return
	}
	machines := mc.machinesOfPage(n)
	page := &mc.machinePages[n]
	page.changed = false
	mc.nextCachePage = n + 1
	mc.nextCacheWriteAt = mc.outbox.Now() + mc.encoding.IntervalForShare(machineCacheWriteShare)
	value := mc.fitCachePage(machines)
	if value == nil {
		return
	}
	mc.outbox.CommitDeferrable(wire.Transaction{
		Conditions: []wire.Condition{mc.elector.Condition()},
		Changes:    []wire.Change{{Put: machineCachePrefix + strconv.Itoa(n), Value: value}},
	}, msg.PurposeMachineCache, func(d msg.CommitDone) { page.changed = page.changed || d.Outcome != msg.OK })
}

func (mc *machineCache) nextChangedPage() (n int, ok bool) {
	for i := range machineCachePageCount {
		n = (mc.nextCachePage + i) % machineCachePageCount
		if mc.machinePages[n].changed {
			return n, true
		}
	}
	return 0, false
}

// machinesOfPage returns what is to be stored in a page. Machines that are being released are left out.
func (mc *machineCache) machinesOfPage(n int) []CachedMachine {
	var machines []CachedMachine
	for _, m := range mc.reconciler.Registry().All() {
		if cachePageOf(m.Name) != n || m.Releasing {
			continue
		}
		machines = append(machines, CachedMachine{
			Name:   m.Name,
			Addr:   m.Addr,
			Type:   m.Type,
			Zone:   m.Zone,
			Spot:   m.Spot,
			Images: m.Images.Names(),
		})
	}
	return machines
}

// fitCachePage encodes machines so that they fit a value: images are dropped first, then the
// youngest machines. It returns nil if they can't be encoded.
func (mc *machineCache) fitCachePage(machines []CachedMachine) []byte {
	for maxImages := maxCachedImages; ; maxImages /= 2 {
		for i := range machines {
			machines[i].Images = machines[i].Images[:min(len(machines[i].Images), maxImages)]
		}
		value, err := job.Encode(machines)
		switch {
		case err != nil:
			return nil
		case mc.encoding.Fits(value):
			return value
		case maxImages == 0:
			machines = machines[:len(machines)*7/8]
		}
	}
}

// applyCachePage restores the machines of a stored page. A leader that is ready ignores it: it knows more than
// what was written before.
func (mc *machineCache) applyCachePage(name string, change *wire.Change) {
	n, err := strconv.Atoi(name)
	if err != nil || n < 0 || n >= machineCachePageCount {
		return
	}
	page := &mc.machinePages[n]
	if mc.ready || change.Version <= page.version {
		return
	}
	var machines []CachedMachine
	if change.Put != "" && job.Decode(change.Value, &machines) != nil {
		return
	}
	previous := page.names
	page.version = change.Version
	page.names = nil
	for i := range machines {
		cached := &machines[i]
		page.names = append(page.names, cached.Name)
		m := mc.reconciler.EnsureMachine(cached.Name)
		m.Images.Restore(cached.Images)
		m.Describe(cached.Addr, cached.Type, cached.Zone, cached.Spot)
	}
	for _, gone := range previous {
		if !slices.Contains(page.names, gone) {
			mc.reconciler.Registry().Remove(gone)
		}
	}
}
