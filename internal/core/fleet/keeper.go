package fleet

import (
	"cmp"
	"maps"
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/claim"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/records"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// Machines are those that the keeper rents and gives back.
type Machines interface {
	Roster() *zone.Roster
	Machine(name string) *zone.Machine // made if need be
}

// Leader hears what is news to it.
type Leader interface {
	Looks(*zone.Machine)                          // something about it has changed
	Moved(machine string)                         // it came or is gone
	Close(key job.Key, machine string, done bool) // proof that a placement is over
	Changed()                                     // there may be more or less room
}

// Keeper rents machines and gives back what is idle, dead, silent, faulty or never came up,
// as long as its node leads.
type Keeper struct {
	cfg     *config.Config
	box     *outbox.Box
	replica *records.Replica
	catalog *zone.Catalog
	claim   *claim.Claim
	owner   Machines
	to      Leader

	ready    bool
	since    Micros // when the claim was made
	fleet    *Fleet
	deleted  map[string]Micros // machines proven gone, which the lagging list still names
	lastList Micros
	listedAt Micros // when a list came last
	listing  bool

	kinds   map[*zone.Machine]Kind // those that count
	count   map[Kind]int
	booting map[*zone.Machine]bool
	watched map[*zone.Machine]bool // those that may have to go back
}

// NewKeeper returns a keeper of no machines.
func NewKeeper(cfg *config.Config, box *outbox.Box, replica *records.Replica, catalog *zone.Catalog, claim *claim.Claim, owner Machines, to Leader) *Keeper {
	k := &Keeper{cfg: cfg, box: box, replica: replica, catalog: catalog, claim: claim, owner: owner, to: to}
	k.Reset()
	return k
}

// Reset forgets what is only of use under one claim.
func (k *Keeper) Reset() {
	k.ready, k.listing, k.since = false, false, k.box.Now()
	k.fleet, k.deleted = New(k.cfg.Cluster.Cloud.RPS), map[string]Micros{}
	k.kinds, k.count = map[*zone.Machine]Kind{}, map[Kind]int{}
	k.booting, k.watched = map[*zone.Machine]bool{}, map[*zone.Machine]bool{}
}

// Begin begins to rent and give back: the records have been read since the claim.
func (k *Keeper) Begin() { k.ready, k.lastList = true, 0 }

// Tick does what is due by time alone.
func (k *Keeper) Tick() {
	if !k.listing && k.box.Now()-k.lastList > k.listPeriod() {
		k.listing, k.lastList = true, k.box.Now()
		k.box.Emit(msg.ListMachines{})
	}
	if k.claim.InDoubt() {
		return
	}
	k.ask()
	k.returnMachines()
}

func (k *Keeper) ask() {
	for _, r := range k.fleet.Due(k.box.Now()) {
		k.box.Emit(msg.Rent{Request: r})
	}
}

// Rent asks for the machines that needs call for.
func (k *Keeper) Rent(needs []Need) {
	var booting []Kind
	for _, m := range slices.SortedFunc(maps.Keys(k.booting), zone.ByName) {
		booting = append(booting, k.kinds[m])
	}
	types := make([]*wire.MachineType, 0, len(k.catalog.Types))
	for _, name := range slices.Sorted(maps.Keys(k.catalog.Types)) {
		types = append(types, k.catalog.Types[name])
	}
	k.fleet.Ask(k.claim.Token(), k.fleet.Plan(k.box.Now(), needs, booting, k.count, types))
	k.ask()
}

// Exhausted tells whether the cloud has lately had none of any kind of machine that would do
// for a need, and none of them boots.
func (k *Keeper) Exhausted(n *Need) bool {
	for m := range k.booting {
		if n.suits(k.kinds[m]) {
			return false
		}
	}
	for name := range n.Types {
		t := k.catalog.Types[name]
		if t == nil {
			continue
		}
		for _, z := range t.Zones {
			for _, kind := range []Kind{{name, z, false}, {name, z, true}} {
				if n.suits(kind) && k.fleet.none[kind] <= k.box.Now()-refusedPause {
					return false
				}
			}
		}
	}
	return true
}

// Room adds up the machines that there are or that boot, with spot machines or without.
func (k *Keeper) Room(spot bool) zone.Res {
	var sum zone.Res
	kinds := slices.SortedFunc(maps.Keys(k.count), func(a, b Kind) int { return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone)) })
	for _, kind := range kinds {
		n := k.count[kind]
		if t := k.catalog.Types[kind.Type]; t != nil && (spot || !kind.Spot) {
			sum = sum.Plus(zone.Res{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}, float64(n))
		}
	}
	return sum
}

// Growing tells whether more than a few machines boot: what there is room for shows when they
// are up.
func (k *Keeper) Growing() bool { return len(k.booting)*4 > len(k.kinds) }

// Gone tells whether a machine is proven to be gone.
func (k *Keeper) Gone(name string) bool {
	_, gone := k.deleted[name]
	return gone
}

// Forget drops a machine that is in no roster any more.
func (k *Keeper) Forget(m *zone.Machine) {
	k.uncount(m)
	delete(k.watched, m)
}

func (k *Keeper) uncount(m *zone.Machine) {
	if kind, ok := k.kinds[m]; ok {
		k.count[kind]--
		delete(k.kinds, m)
	}
	delete(k.booting, m)
}

// Count sorts a machine that has changed for what is rented next: whether nothing open is
// on it, and whether anything is or is about to be.
func (k *Keeper) Count(m *zone.Machine, empty, used bool) {
	k.uncount(m)
	k.Watch(m, used)
	if m.Releasing || m.Type == "" {
		return
	}
	kind := Kind{Type: m.Type, Zone: m.Zone, Spot: m.Spot}
	k.kinds[m] = kind
	k.count[kind]++
	if m.Session == 0 && !m.Failed && empty {
		k.booting[m] = true
	}
}

func (k *Keeper) listPeriod() Micros {
	return max(config.FromSeconds(k.cfg.Cluster.Cloud.ListLagS)/2, 2*config.Second)
}

// ListDone takes a list of the cloud's machines.
func (k *Keeper) ListDone(x msg.ListDone) {
	k.listing = false
	if !k.ready || x.Outcome != msg.OK {
		return
	}
	k.listedAt = k.box.Now()
	listed := make(map[string]bool, len(x.Machines))
	for i := range x.Machines {
		l := &x.Machines[i]
		listed[l.Name] = true
		if k.Gone(l.Name) {
			continue
		}
		had := k.owner.Roster().Get(l.Name) != nil
		m := k.owner.Machine(l.Name)
		if !had {
			m.Rented = k.box.Now() - config.FromSeconds(l.AgeS)
		}
		if fails := l.State == wire.MachineFailed; !had || m.Failed != fails || m.Session == 0 && m.Type == "" {
			m.Failed = fails
			k.to.Looks(m)
		}
		m.Describe(l.Addr, l.Type, l.Zone, l.Spot)
	}
	for _, m := range k.owner.Roster().All() {
		switch {
		case listed[m.Name]:
			m.Unlisted = 0
		case m.Unlisted == 0:
			m.Unlisted = k.box.Now()
		}
	}
	for name, since := range k.deleted {
		if !listed[name] && k.box.Now()-since > 5*config.FromSeconds(k.cfg.Cluster.Cloud.ListLagS) {
			delete(k.deleted, name)
		}
	}
}

// RentDone hears what was rented.
func (k *Keeper) RentDone(x msg.RentDone) {
	if !k.ready {
		return
	}
	switch x.Outcome {
	case msg.OK, msg.Conflict:
		r, ok := k.fleet.Done(k.box.Now(), x.Name, len(x.Machines), x.Outcome == msg.Conflict)
		if !ok {
			return
		}
		k.box.Log("rented", "type", r.Type, "zone", r.Zone, "spot", r.Spot, "asked", r.Count, "got", len(x.Machines))
		for _, name := range x.Machines {
			m := k.owner.Machine(name)
			m.Describe("", r.Type, r.Zone, r.Spot)
			k.to.Looks(m)
			k.to.Moved(name)
		}
		k.to.Changed()
	default:
		k.fleet.Retry(k.box.Now(), x.Name)
	}
}

// returnMachines gives back what is idle, dead, silent, faulty or never came
// up. The answer to a deletion is the proof that everything on it is gone. It looks
// only at machines that don't work, or don't speak.
func (k *Keeper) returnMachines() {
	silence := k.cfg.Silence()
	look := slices.Collect(maps.Keys(k.watched))
	k.owner.Roster().Silent(k.box.Now()-silence, func(m *zone.Machine) {
		if !k.watched[m] {
			look = append(look, m)
		}
	})
	slices.SortFunc(look, zone.ByName)
	var crowds map[string]bool
	var names []string
	for _, m := range look {
		name := m.Name
		if k.owner.Roster().Get(name) != m {
			continue
		}
		if m.Releasing {
			if k.box.Now()-m.ReleasedAt > 2*config.Second {
				m.ReleasedAt = k.box.Now()
				names = append(names, name)
			}
			continue
		}
		limit := silence
		if k.silentFor(m) > silence && !k.vanished(m) && k.inCrowd(m, &crowds) {
			limit = 6 * silence
		}
		why := ""
		switch {
		case m.Failed:
			why = "failed"
		case m.SessionReset:
			why = "began anew"
		case m.Session == 0 && len(k.replica.OpenOn(name)) == 0:
			if k.box.Now()-max(m.Rented, k.since) > k.bootLimit(m) {
				why = "never came up"
			}
		case k.silentFor(m) > limit:
			why = "silent"
		case m.Sick():
			if m.IdleSince != 0 {
				why = "faulty"
			}
		case m.Hearing.Deaf() && k.box.Now()-m.Hearing.Since > k.deafLimit(m, &crowds):
			why = "deaf"
		case m.Mute != 0 && k.box.Now()-m.Mute > k.deafLimit(m, &crowds):
			why = "mute"
		case m.Hearing.Times >= zone.MostDeaf && m.IdleSince != 0:
			why = "deaf again and again"
		case m.IdleSince != 0 && k.box.Now()-m.IdleSince > k.keepIdle(m):
			why = "idle"
		}
		if why == "" || m.ReleasedAt != 0 && k.box.Now()-m.ReleasedAt < 2*config.Second {
			continue
		}
		if m.ReleasedAt == 0 {
			k.box.Log("releasing", "machine", name, "why", why, "placements", len(k.replica.OpenOn(name)))
		}
		m.Releasing, m.ReleasedAt = true, k.box.Now()
		k.to.Looks(m)
		names = append(names, name)
	}
	for len(names) > 0 {
		n := min(len(names), wire.MaxRelease)
		k.box.Emit(msg.Release{Machines: names[:n:n]})
		names = names[n:]
	}
}

// vanished tells whether the cloud's lists have lacked a machine for longer than they lag: a deletion of a
// predecessor's that came late, most likely. That proves nothing, but its own deletion does, and there is no
// worker to be spared.
func (k *Keeper) vanished(m *zone.Machine) bool {
	return m.Unlisted != 0 && k.listedAt-m.Unlisted > 3*config.FromSeconds(k.cfg.Cluster.Cloud.ListLagS)
}

// inCrowd tells whether so many machines of a zone are quiet, deaf or mute that it is rather the network.
func (k *Keeper) inCrowd(m *zone.Machine, crowds *map[string]bool) bool {
	if *crowds == nil {
		*crowds = k.crowds()
	}
	return (*crowds)[m.Zone]
}

// deafLimit is how long a machine may seem deaf or mute before it is deleted: by then its lease has
// ended, and with it all that ran there.
func (k *Keeper) deafLimit(m *zone.Machine, crowds *map[string]bool) Micros {
	lease := config.FromSeconds(k.cfg.Cluster.Workers.LeaseS)
	if k.inCrowd(m, crowds) {
		return 6 * lease
	}
	return lease
}

// crowds tells in which zones so many workers are quiet that it is rather the
// network than the machines. Those heard of through a deputy count: they tell of a
// cut.
func (k *Keeper) crowds() map[string]bool {
	quiet, all := map[string]int{}, map[string]int{}
	for _, m := range k.owner.Roster().All() {
		if m.Session == 0 && m.Heard == 0 && len(k.replica.OpenOn(m.Name)) == 0 {
			continue
		}
		all[m.Zone]++
		if m.Hearing.Deaf() || m.Mute != 0 || k.box.Now()-max(m.Spoke, k.since) > k.cfg.Silence()/2 {
			quiet[m.Zone]++
		}
	}
	out := map[string]bool{}
	for z, n := range quiet {
		out[z] = n > 1 && n*3 > all[z]
	}
	return out
}

func (k *Keeper) silentFor(m *zone.Machine) Micros { return k.box.Now() - max(m.Heard, k.since) }

// keepIdle is how long an idle machine is kept. To have it back would cost a
// boot, paid without use, and the images that it has cached.
func (k *Keeper) keepIdle(m *zone.Machine) Micros {
	if s := k.cfg.Settings.IdleReturnS; s > 0 {
		return config.FromSeconds(s)
	}
	keep := 20.0
	if t := k.catalog.Types[m.Type]; t != nil {
		keep += 1.4 * t.BootS
	}
	return config.FromSeconds(keep)
}

func (k *Keeper) bootLimit(m *zone.Machine) Micros {
	boot := 60.0
	if t := k.catalog.Types[m.Type]; t != nil {
		boot = t.BootS
	}
	return config.FromSeconds(boot*k.cfg.Settings.BootGiveUpTimes) + 5*config.Second
}

// ReleaseDone hears what came of giving machines back.
func (k *Keeper) ReleaseDone(x msg.ReleaseDone) {
	if !k.ready {
		return
	}
	if x.Outcome != msg.OK {
		// Certainly not deleted: it may be used again. Otherwise the deletion
		// may come late, and nothing must be there by then.
		for _, name := range x.Machines {
			if m := k.owner.Roster().Get(name); m != nil {
				m.Doomed = m.Doomed || x.Outcome == msg.Unknown
				m.Releasing = m.Doomed
				k.to.Looks(m)
			}
		}
		return
	}
	for _, name := range slices.Sorted(slices.Values(x.Machines)) {
		for _, key := range job.SortedKeys(k.replica.OpenOn(name)) {
			k.to.Close(key, name, false)
		}
		if m := k.owner.Roster().Get(name); m != nil {
			k.to.Looks(m)
		}
		k.owner.Roster().Remove(name)
		k.deleted[name] = k.box.Now()
		k.to.Moved(name)
	}
	k.to.Changed()
}

// Watch keeps the list of machines that may have to go back: all but those that
// work. It notes since when a machine is idle.
func (k *Keeper) Watch(m *zone.Machine, used bool) {
	busy := m.Session == 0 || used
	switch {
	case busy:
		m.IdleSince = 0
	case m.IdleSince == 0:
		m.IdleSince = k.box.Now()
	}
	if !busy || m.Session == 0 || m.Releasing || m.Failed || m.SessionReset || m.Mute != 0 || m.Hearing.Deaf() {
		k.watched[m] = true
	} else {
		delete(k.watched, m)
	}
}
