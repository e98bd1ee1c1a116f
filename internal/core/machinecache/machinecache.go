// Package machinecache stores the data on machines that a new leader would otherwise have to collect
// again: their addresses, types, zones and images. The cache is no evidence of their present state.
//
// Machines are grouped into pages of one key each, and the pages that have changed are written
// round-robin, so that the cache uses a small share of the changes that the state service allows,
// regardless of the size of the fleet.
package machinecache

import (
	"hash/fnv"
	"slices"
	"strconv"

	"coralhub/internal/config"
	"coralhub/internal/core/election"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/reconciler"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

// KeyPrefix is the prefix of the keys of the pages; the number of the page follows it.
const KeyPrefix = job.KeyRoot + "machines/"

const (
	pageCount = 32
	// writeShare is the share of the allowed changes that the cache may use.
	writeShare = 0.05
	// maxImages is the maximum number of images that are stored for a machine.
	maxImages = 16
)

// Cache writes the pages of the machine cache while this node leads, and restores machines from them
// before that. It is not safe for concurrent use.
type Cache struct {
	outbox     *outbox.Outbox
	encoding   *records.Encoding
	elector    *election.Elector
	reconciler *reconciler.Reconciler

	pages       [pageCount]storedPage
	nextPage    int           // page at which the search for a changed page begins
	nextWriteAt config.Micros // earliest time of the next write
}

// New returns the cache of the machines in a reconciler's registry.
func New(
	out *outbox.Outbox, encoding *records.Encoding, elector *election.Elector, reconciler *reconciler.Reconciler,
) *Cache {
	return &Cache{outbox: out, encoding: encoding, elector: elector, reconciler: reconciler}
}

// Machine is the stored form of a machine, which nodes of different versions share.
type Machine struct {
	//lint:ignore U1000 read by the encoder: a machine is stored as an array, to be short
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	Addr     string
	Type     string
	Zone     string
	Spot     bool
	Images   []string
}

// storedPage is this node's state of a page of the cache.
type storedPage struct {
	version uint64   // version that was applied last
	names   []string // machines in that version
	changed bool     // set if it has changed since this node last wrote it
}

// pageOf returns the number of the page that holds a machine.
func pageOf(machine string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(machine))
	return int(h.Sum32() % pageCount)
}

// MarkStale marks the page of a machine to be written by a later Write.
func (c *Cache) MarkStale(name string) {
	c.pages[pageOf(name)].changed = true
}

// Write writes the next changed page, if the cache's share of changes allows it.
func (c *Cache) Write() {
	if c.outbox.Now() < c.nextWriteAt {
		return
	}
	n, ok := c.nextChangedPage()
	if !ok {
		return
	}
	machines := c.machinesOfPage(n)
	page := &c.pages[n]
	page.changed = false
	c.nextPage = n + 1
	c.nextWriteAt = c.outbox.Now() + c.encoding.IntervalForShare(writeShare)
	value := c.fitPage(machines)
	if value == nil {
		return
	}
	c.outbox.CommitDeferrable(wire.Transaction{
		Conditions: []wire.Condition{c.elector.Condition()},
		Changes:    []wire.Change{{Put: KeyPrefix + strconv.Itoa(n), Value: value}},
	}, msg.PurposeMachineCache, func(d msg.CommitDone) { page.changed = page.changed || d.Outcome != msg.OK })
}

func (c *Cache) nextChangedPage() (n int, ok bool) {
	for i := range pageCount {
		n = (c.nextPage + i) % pageCount
		if c.pages[n].changed {
			return n, true
		}
	}
	return 0, false
}

// machinesOfPage returns the machines to be stored in a page, without those that are being released.
func (c *Cache) machinesOfPage(n int) []Machine {
	var machines []Machine
	for _, m := range c.reconciler.Registry().All() {
		if pageOf(m.Name) != n || m.Releasing {
			continue
		}
		machines = append(machines, Machine{
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

// fitPage encodes machines so that they fit the size limit of a value: images are dropped first, then
// machines from the end of the list, which is sorted by name, so that they are the youngest ones if the
// cloud numbers its machines. It returns nil if they can't be encoded, or if not even an empty list fits.
func (c *Cache) fitPage(machines []Machine) []byte {
	for imageLimit := maxImages; ; imageLimit /= 2 {
		for i := range machines {
			machines[i].Images = machines[i].Images[:min(len(machines[i].Images), imageLimit)]
		}
		value, err := job.Encode(machines)
		switch {
		case err != nil:
			return nil
		case c.encoding.Fits(value):
			return value
		case len(machines) == 0:
			return nil
		case imageLimit == 0:
			machines = machines[:len(machines)*7/8]
		}
	}
}

// Apply restores the machines of a stored page, given the decimal number of the page. A page that can't be decoded
// or is not newer than the last one is ignored. A leader that is ready must not call it, because its own data is
// newer than what was stored before.
func (c *Cache) Apply(number string, change *wire.Change) {
	n, err := strconv.Atoi(number)
	if err != nil || n < 0 || n >= pageCount {
		return
	}
	page := &c.pages[n]
	if change.Version <= page.version {
		return
	}
	var machines []Machine
	if change.Put != "" && job.Decode(change.Value, &machines) != nil {
		return
	}
	previous := page.names
	page.version = change.Version
	page.names = nil
	for i := range machines {
		cached := &machines[i]
		page.names = append(page.names, cached.Name)
		m := c.reconciler.EnsureMachine(cached.Name)
		m.Images.Restore(cached.Images)
		m.Describe(cached.Addr, cached.Type, cached.Zone, cached.Spot)
	}
	for _, removed := range previous {
		if !slices.Contains(page.names, removed) {
			c.reconciler.Registry().Remove(removed)
		}
	}
}
