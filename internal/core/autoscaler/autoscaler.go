package autoscaler

import (
	"cmp"
	"maps"
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/election"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/records"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// Machines are those that the keeper rents and gives back.
type Machines interface {
	Registry() *zone.Registry
	EnsureMachine(name string) *zone.Machine // made if need be
}

// Listener hears what is news to it.
type Listener interface {
	MachineChanged(*zone.Machine)                                 // something about it has changed
	MachineSetChanged(machine string)                             // it came or is gone
	ClosePlacement(key job.AttemptKey, machine string, done bool) // proof that a placement is over
	CapacityChanged()                                             // there may be more or less room
}

// Autoscaler rents machines and gives back what is idle, dead, silent, faulty or never came up,
// as long as its node leads.
type Autoscaler struct {
	cfg      *config.Config
	outbox   *outbox.Outbox
	replica  *records.Replica
	catalog  *zone.Catalog
	elector  *election.Elector
	machines Machines
	listener Listener

	active            bool
	activeSince       Micros // when the claim was made
	provisioner       *Provisioner
	deletedAt         map[string]Micros // machines proven gone, which the lagging list still names
	lastListRequestAt Micros
	listedAt          Micros // when a list came last
	listing           bool

	pools     map[*zone.Machine]Pool // those that count
	poolSizes map[Pool]int
	booting   map[*zone.Machine]bool
	watched   map[*zone.Machine]bool // those that may have to go back
}

// New returns a keeper of no machines.
func New(cfg *config.Config, box *outbox.Outbox, replica *records.Replica, catalog *zone.Catalog, claim *election.Elector, owner Machines, to Listener) *Autoscaler {
	k := &Autoscaler{cfg: cfg, outbox: box, replica: replica, catalog: catalog, elector: claim, machines: owner, listener: to}
	k.Reset()
	return k
}

// Reset forgets what is only of use under one claim.
func (k *Autoscaler) Reset() {
	k.active, k.listing, k.activeSince = false, false, k.outbox.Now()
	k.provisioner, k.deletedAt = NewProvisioner(k.cfg.Cluster.Cloud.RPS), map[string]Micros{}
	k.pools, k.poolSizes = map[*zone.Machine]Pool{}, map[Pool]int{}
	k.booting, k.watched = map[*zone.Machine]bool{}, map[*zone.Machine]bool{}
}

// Activate begins to rent and give back: the records have been read since the claim.
func (k *Autoscaler) Activate() { k.active, k.lastListRequestAt = true, 0 }

// Tick does what is due by time alone.
func (k *Autoscaler) Tick() {
	if !k.listing && k.outbox.Now()-k.lastListRequestAt > k.listInterval() {
		k.listing, k.lastListRequestAt = true, k.outbox.Now()
		k.outbox.Emit(msg.ListMachines{})
	}
	if k.elector.LeaseInDoubt() {
		return
	}
	k.sendDue()
	k.scaleIn()
}

func (k *Autoscaler) sendDue() {
	for _, r := range k.provisioner.Due(k.outbox.Now()) {
		k.outbox.Emit(msg.ScaleOut{Request: r})
	}
}

// ScaleOut asks for the machines that needs call for.
func (k *Autoscaler) ScaleOut(needs []Demand) {
	var booting []Pool
	for _, m := range slices.SortedFunc(maps.Keys(k.booting), zone.ByName) {
		booting = append(booting, k.pools[m])
	}
	types := make([]*wire.MachineType, 0, len(k.catalog.Types))
	for _, name := range slices.Sorted(maps.Keys(k.catalog.Types)) {
		types = append(types, k.catalog.Types[name])
	}
	k.provisioner.Enqueue(k.elector.FencingToken(), k.provisioner.Plan(k.outbox.Now(), needs, booting, k.poolSizes, types))
	k.sendDue()
}

// CapacityExhausted tells whether the cloud has lately had none of any kind of machine that would do
// for a need, and none of them boots.
func (k *Autoscaler) CapacityExhausted(n *Demand) bool {
	for m := range k.booting {
		if n.suits(k.pools[m]) {
			return false
		}
	}
	for name := range n.Types {
		t := k.catalog.Types[name]
		if t == nil {
			continue
		}
		for _, z := range t.Zones {
			for _, kind := range []Pool{{name, z, false}, {name, z, true}} {
				if n.suits(kind) && k.provisioner.exhaustedUntil[kind] <= k.outbox.Now()-exhaustedBackoff {
					return false
				}
			}
		}
	}
	return true
}

// TotalCapacity adds up the machines that there are or that boot, with spot machines or without.
func (k *Autoscaler) TotalCapacity(spot bool) zone.Resources {
	var sum zone.Resources
	kinds := slices.SortedFunc(maps.Keys(k.poolSizes), func(a, b Pool) int { return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone)) })
	for _, kind := range kinds {
		n := k.poolSizes[kind]
		if t := k.catalog.Types[kind.Type]; t != nil && (spot || !kind.Spot) {
			sum = sum.Plus(zone.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}, float64(n))
		}
	}
	return sum
}

// Growing tells whether more than a few machines boot: what there is room for shows when they
// are up.
func (k *Autoscaler) Growing() bool { return len(k.booting)*4 > len(k.pools) }

// IsDeleted tells whether a machine is proven to be gone.
func (k *Autoscaler) IsDeleted(name string) bool {
	_, gone := k.deletedAt[name]
	return gone
}

// ForgetMachine drops a machine that is in no roster any more.
func (k *Autoscaler) ForgetMachine(m *zone.Machine) {
	k.removeFromPool(m)
	delete(k.watched, m)
}

func (k *Autoscaler) removeFromPool(m *zone.Machine) {
	if kind, ok := k.pools[m]; ok {
		k.poolSizes[kind]--
		delete(k.pools, m)
	}
	delete(k.booting, m)
}

// UpdateMachine sorts a machine that has changed for what is rented next: whether nothing open is
// on it, and whether anything is or is about to be.
func (k *Autoscaler) UpdateMachine(m *zone.Machine, empty, used bool) {
	k.removeFromPool(m)
	k.WatchMachine(m, used)
	if m.Releasing || m.Type == "" {
		return
	}
	kind := Pool{Type: m.Type, Zone: m.Zone, Spot: m.Spot}
	k.pools[m] = kind
	k.poolSizes[kind]++
	if m.Incarnation == 0 && !m.Failed && empty {
		k.booting[m] = true
	}
}

func (k *Autoscaler) listInterval() Micros {
	return max(config.FromSeconds(k.cfg.Cluster.Cloud.ListLagS)/2, 2*config.Second)
}

// ListDone takes a list of the cloud's machines.
func (k *Autoscaler) ListDone(x msg.ListDone) {
	k.listing = false
	if !k.active || x.Outcome != msg.OK {
		return
	}
	k.listedAt = k.outbox.Now()
	listed := make(map[string]bool, len(x.Machines))
	for i := range x.Machines {
		l := &x.Machines[i]
		listed[l.Name] = true
		if k.IsDeleted(l.Name) {
			continue
		}
		had := k.machines.Registry().Get(l.Name) != nil
		m := k.machines.EnsureMachine(l.Name)
		if !had {
			m.RentedAt = k.outbox.Now() - config.FromSeconds(l.AgeS)
		}
		if fails := l.State == wire.MachineFailed; !had || m.Failed != fails || m.Incarnation == 0 && m.Type == "" {
			m.Failed = fails
			k.listener.MachineChanged(m)
		}
		m.Describe(l.Addr, l.Type, l.Zone, l.Spot)
	}
	for _, m := range k.machines.Registry().All() {
		switch {
		case listed[m.Name]:
			m.UnlistedSince = 0
		case m.UnlistedSince == 0:
			m.UnlistedSince = k.outbox.Now()
		}
	}
	for name, since := range k.deletedAt {
		if !listed[name] && k.outbox.Now()-since > 5*config.FromSeconds(k.cfg.Cluster.Cloud.ListLagS) {
			delete(k.deletedAt, name)
		}
	}
}

// ScaleOutDone hears what was rented.
func (k *Autoscaler) ScaleOutDone(x msg.ScaleOutDone) {
	if !k.active {
		return
	}
	switch x.Outcome {
	case msg.OK, msg.Conflict:
		r, ok := k.provisioner.Complete(k.outbox.Now(), x.Name, len(x.Machines), x.Outcome == msg.Conflict)
		if !ok {
			return
		}
		k.outbox.Log("scaled out", "type", r.Type, "zone", r.Zone, "spot", r.Spot, "requested", r.Count, "granted", len(x.Machines))
		for _, name := range x.Machines {
			m := k.machines.EnsureMachine(name)
			m.Describe("", r.Type, r.Zone, r.Spot)
			k.listener.MachineChanged(m)
			k.listener.MachineSetChanged(name)
		}
		k.listener.CapacityChanged()
	default:
		k.provisioner.Retry(k.outbox.Now(), x.Name)
	}
}

// scaleIn gives back what is idle, dead, silent, faulty or never came
// up. The answer to a deletion is the proof that everything on it is gone. It looks
// only at machines that don't work, or don't speak.
func (k *Autoscaler) scaleIn() {
	silence := k.cfg.SilenceLimit()
	look := slices.Collect(maps.Keys(k.watched))
	k.machines.Registry().EachSilent(k.outbox.Now()-silence, func(m *zone.Machine) {
		if !k.watched[m] {
			look = append(look, m)
		}
	})
	slices.SortFunc(look, zone.ByName)
	var crowds map[string]bool
	var names []string
	for _, m := range look {
		name := m.Name
		if k.machines.Registry().Get(name) != m {
			continue
		}
		if m.Releasing {
			if k.outbox.Now()-m.ReleaseSentAt > 2*config.Second {
				m.ReleaseSentAt = k.outbox.Now()
				names = append(names, name)
			}
			continue
		}
		limit := silence
		if k.silence(m) > silence && !k.missingFromLists(m) && k.inCorrelatedFailure(m, &crowds) {
			limit = 6 * silence
		}
		why := ""
		switch {
		case m.Failed:
			why = "failed"
		case m.IncarnationReset:
			why = "incarnation reset"
		case m.Incarnation == 0 && len(k.replica.PlacementsOn(name)) == 0:
			if k.outbox.Now()-max(m.RentedAt, k.activeSince) > k.bootLimit(m) {
				why = "boot timeout"
			}
		case k.silence(m) > limit:
			why = "silent"
		case m.Quarantined():
			if m.IdleSince != 0 {
				why = "quarantined"
			}
		case m.Reachability.Unreachable() && k.outbox.Now()-m.Reachability.UnreachableSince > k.unreachableLimit(m, &crowds):
			why = "inbound unreachable"
		case m.SilentSince != 0 && k.outbox.Now()-m.SilentSince > k.unreachableLimit(m, &crowds):
			why = "outbound unreachable"
		case m.Reachability.Episodes >= zone.MaxUnreachableEpisodes && m.IdleSince != 0:
			why = "repeatedly unreachable"
		case m.IdleSince != 0 && k.outbox.Now()-m.IdleSince > k.idleLimit(m):
			why = "idle"
		}
		if why == "" || m.ReleaseSentAt != 0 && k.outbox.Now()-m.ReleaseSentAt < 2*config.Second {
			continue
		}
		if m.ReleaseSentAt == 0 {
			k.outbox.Log("scaling in", "machine", name, "reason", why, "placements", len(k.replica.PlacementsOn(name)))
		}
		m.Releasing, m.ReleaseSentAt = true, k.outbox.Now()
		k.listener.MachineChanged(m)
		names = append(names, name)
	}
	for len(names) > 0 {
		n := min(len(names), wire.MaxRelease)
		k.outbox.Emit(msg.ScaleIn{Machines: names[:n:n]})
		names = names[n:]
	}
}

// missingFromLists tells whether the cloud's lists have lacked a machine for longer than they lag: a deletion of a
// predecessor's that came late, most likely. That proves nothing, but its own deletion does, and there is no
// worker to be spared.
func (k *Autoscaler) missingFromLists(m *zone.Machine) bool {
	return m.UnlistedSince != 0 && k.listedAt-m.UnlistedSince > 3*config.FromSeconds(k.cfg.Cluster.Cloud.ListLagS)
}

// inCorrelatedFailure tells whether so many machines of a zone are quiet, deaf or mute that it is rather the network.
func (k *Autoscaler) inCorrelatedFailure(m *zone.Machine, crowds *map[string]bool) bool {
	if *crowds == nil {
		*crowds = k.correlatedFailures()
	}
	return (*crowds)[m.Zone]
}

// unreachableLimit is how long a machine may seem deaf or mute before it is deleted: by then its lease has
// ended, and with it all that ran there.
func (k *Autoscaler) unreachableLimit(m *zone.Machine, crowds *map[string]bool) Micros {
	lease := config.FromSeconds(k.cfg.Cluster.Workers.LeaseS)
	if k.inCorrelatedFailure(m, crowds) {
		return 6 * lease
	}
	return lease
}

// correlatedFailures tells in which zones so many workers are quiet that it is rather the
// network than the machines. Those heard of through a deputy count: they tell of a
// cut.
func (k *Autoscaler) correlatedFailures() map[string]bool {
	quiet, all := map[string]int{}, map[string]int{}
	for _, m := range k.machines.Registry().All() {
		if m.Incarnation == 0 && m.LastMessageAt == 0 && len(k.replica.PlacementsOn(m.Name)) == 0 {
			continue
		}
		all[m.Zone]++
		if m.Reachability.Unreachable() || m.SilentSince != 0 || k.outbox.Now()-max(m.LastContactAt, k.activeSince) > k.cfg.SilenceLimit()/2 {
			quiet[m.Zone]++
		}
	}
	out := map[string]bool{}
	for z, n := range quiet {
		out[z] = n > 1 && n*3 > all[z]
	}
	return out
}

func (k *Autoscaler) silence(m *zone.Machine) Micros {
	return k.outbox.Now() - max(m.LastMessageAt, k.activeSince)
}

// idleLimit is how long an idle machine is kept. To have it back would cost a
// boot, paid without use, and the images that it has cached.
func (k *Autoscaler) idleLimit(m *zone.Machine) Micros {
	if s := k.cfg.Settings.IdleScaleInS; s > 0 {
		return config.FromSeconds(s)
	}
	keep := 20.0
	if t := k.catalog.Types[m.Type]; t != nil {
		keep += 1.4 * t.BootS
	}
	return config.FromSeconds(keep)
}

func (k *Autoscaler) bootLimit(m *zone.Machine) Micros {
	boot := 60.0
	if t := k.catalog.Types[m.Type]; t != nil {
		boot = t.BootS
	}
	return config.FromSeconds(boot*k.cfg.Settings.BootTimeoutFactor) + 5*config.Second
}

// ScaleInDone hears what came of giving machines back.
func (k *Autoscaler) ScaleInDone(x msg.ScaleInDone) {
	if !k.active {
		return
	}
	if x.Outcome != msg.OK {
		// Certainly not deleted: it may be used again. Otherwise the deletion
		// may come late, and nothing must be there by then.
		for _, name := range x.Machines {
			if m := k.machines.Registry().Get(name); m != nil {
				m.DeletionUncertain = m.DeletionUncertain || x.Outcome == msg.Unknown
				m.Releasing = m.DeletionUncertain
				k.listener.MachineChanged(m)
			}
		}
		return
	}
	for _, name := range slices.Sorted(slices.Values(x.Machines)) {
		for _, key := range job.SortedAttemptKeys(k.replica.PlacementsOn(name)) {
			k.listener.ClosePlacement(key, name, false)
		}
		if m := k.machines.Registry().Get(name); m != nil {
			k.listener.MachineChanged(m)
		}
		k.machines.Registry().Remove(name)
		k.deletedAt[name] = k.outbox.Now()
		k.listener.MachineSetChanged(name)
	}
	k.listener.CapacityChanged()
}

// WatchMachine keeps the list of machines that may have to go back: all but those that
// work. It notes since when a machine is idle.
func (k *Autoscaler) WatchMachine(m *zone.Machine, used bool) {
	busy := m.Incarnation == 0 || used
	switch {
	case busy:
		m.IdleSince = 0
	case m.IdleSince == 0:
		m.IdleSince = k.outbox.Now()
	}
	if !busy || m.Incarnation == 0 || m.Releasing || m.Failed || m.IncarnationReset || m.SilentSince != 0 || m.Reachability.Unreachable() {
		k.watched[m] = true
	} else {
		delete(k.watched, m)
	}
}
