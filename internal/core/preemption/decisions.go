// Package preemption stores preemption decisions: the preemptor, its victims, the machines reserved for the
// preemptor, the reason and the time of expiry. A decision is committed before any task is stopped for it, so
// that the next leader continues it: the capacity that becomes free stays reserved for the preemptor, and no
// task is stopped for it a second time.
//
// The package only manages decisions: it packs them into pages and commits them, reports which of them are in
// force, and counts preempted tasks by the classes of victim and preemptor. The leader makes decisions and
// carries them out.
package preemption

import (
	"cmp"
	"slices"
	"strconv"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
)

// Micros is a time or a duration in whole microseconds.
type Micros = config.Micros

const (
	// KeyPrefix is the prefix of the keys of this package.
	KeyPrefix = job.KeyRoot + "standing/"
	// PageCount is the number of pages of decisions.
	PageCount = 8
	// MaxOpenDecisions bounds the number of decisions that are not yet known to be committed.
	MaxOpenDecisions = 256
	// MaxDuration is the maximum time for which a decision can be in force.
	MaxDuration = 60 * config.Second
)

// PageKey returns the key of a page.
func PageKey(page int) string { return KeyPrefix + strconv.Itoa(page) }

// ParsePage returns the number of a page from its key without KeyPrefix. It returns false if the key is not that of
// a page.
func ParsePage(suffix string) (int, bool) {
	n, err := strconv.Atoi(suffix)
	return n, err == nil && n >= 0 && n < PageCount
}

// Reason is the reason for a preemption.
type Reason int

// Reasons for preemption. Their numbers are stored, so they must keep their meanings.
const (
	ReasonPriority        Reason = 1 // the preemptor's priority is higher
	ReasonGuarantee       Reason = 2 // the preemptor's team claims its guarantee
	ReasonDefragmentation Reason = 3 // replicas are moved so that a gang fits
)

// String returns the reason in the form shown to operators.
func (r Reason) String() string {
	switch r {
	case ReasonPriority:
		return "priority"
	case ReasonGuarantee:
		return "guarantee"
	case ReasonDefragmentation:
		return "whole machines"
	}
	return "right " + strconv.Itoa(int(r))
}

// WholeGang is the Victim.Task that stands for all tasks of a gang, which are preempted together.
const WholeGang = -1

// Victim is a preempted task, identified by the attempt that was placed when the decision was made. Attempts
// that are placed later are not victims.
type Victim struct {
	//lint:ignore U1000 read by the encoder: a victim is stored as a list, which is shorter
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
	Task     int // or WholeGang
	Attempt  uint64
}

// Decision is a decision to preempt tasks for a job.
type Decision struct {
	//lint:ignore U1000 read by the encoder: a decision is stored as a list, which is shorter
	_msgpack         struct{} `msgpack:",as_array"`
	Preemptor        string   // ID of the job
	Reason           Reason
	Level            int    // queue level of the preemptor when the decision was made
	Order            uint64 // reserved, always 0; its place in the stored array must stay
	Until            Micros // time of day until which the machines are reserved
	ReservedMachines []string
	Victims          []Victim
}

// InForce reports whether a decision is in force at a time of day. A decision that would be in force for
// longer than MaxDuration was made with a wrong clock, and is not in force.
func (d *Decision) InForce(wall Micros) bool { return wall < d.Until && d.Until-wall <= MaxDuration }

// split divides a decision into two halves, for pages that are too small for it. It returns nil if the decision
// can't be divided.
func (d *Decision) split() []Decision {
	if len(d.ReservedMachines)+len(d.Victims) <= 1 {
		return nil
	}
	first, second := *d, *d
	machines := len(d.ReservedMachines) / 2
	first.ReservedMachines = d.ReservedMachines[:machines]
	second.ReservedMachines = d.ReservedMachines[machines:]
	victims := (len(d.Victims) + 1) / 2
	first.Victims = d.Victims[:victims]
	second.Victims = d.Victims[victims:]
	return []Decision{first, second}
}

// page is a stored page of decisions.
type page struct {
	version   uint64
	decisions []Decision
}

// Decisions is a node's copy of the stored decisions. Its zero value is empty.
type Decisions struct{ pages [PageCount]page }

// Apply replaces page n with its stored value, unless a version at least as new is known. Version 0 means that
// the page does not exist. Apply returns an error, and changes nothing, if the value can't be decoded.
func (ds *Decisions) Apply(n int, version uint64, value []byte) error {
	if version != 0 && version <= ds.pages[n].version {
		return nil
	}
	var decisions []Decision
	if version != 0 {
		if err := job.Decode(value, &decisions); err != nil {
			return err
		}
	}
	ds.pages[n] = page{version, decisions}
	return nil
}

// Version returns the version of page n, or 0 if the page does not exist.
func (ds *Decisions) Version(n int) uint64 { return ds.pages[n].version }

// InForce returns the decisions that are in force at a time of day, ordered by preemptor.
func (ds *Decisions) InForce(wall Micros) []Decision {
	var out []Decision
	for n := range ds.pages {
		for _, d := range ds.pages[n].decisions {
			if d.InForce(wall) {
				out = append(out, d)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Decision) int { return cmp.Compare(a.Preemptor, b.Preemptor) })
	return out
}

// PageWrite is a page to be written.
type PageWrite struct {
	Page    int
	Version uint64 // version that is replaced
	Value   []byte
}

// Pack adds pending decisions to as few pages as possible, beside the stored ones that are still needed. It
// returns the pages to write, at most maxWrites, and the number of pending decisions that they contain, which
// are the first ones. Decisions that are no longer needed are removed from a page when it is written.
func (ds *Decisions) Pack(
	pending []Decision, maxWrites int, needed func(*Decision) bool, fits func([]byte) bool,
) (writes []PageWrite, packed int) {
	kept := ds.neededByPage(needed)
	for _, n := range emptiestFirst(kept) {
		if packed == len(pending) || len(writes) == maxWrites {
			break
		}
		value, added := fillPage(kept[n], pending[packed:], fits)
		packed += added
		if value != nil {
			writes = append(writes, PageWrite{n, ds.pages[n].version, value})
		}
	}
	return writes, packed
}

// neededByPage returns the decisions of each page that are still needed.
func (ds *Decisions) neededByPage(needed func(*Decision) bool) [][]Decision {
	kept := make([][]Decision, PageCount)
	for n := range ds.pages {
		for _, d := range ds.pages[n].decisions {
			if needed(&d) {
				kept[n] = append(kept[n], d)
			}
		}
	}
	return kept
}

// emptiestFirst returns the numbers of the pages, in ascending order of their number of decisions.
func emptiestFirst(kept [][]Decision) []int {
	order := make([]int, len(kept))
	for n := range order {
		order[n] = n
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(len(kept[a]), len(kept[b])) })
	return order
}

// fillPage adds pending decisions to those of a page while they fit. It returns the encoded page and the number
// of added decisions. The value is nil if none was added.
func fillPage(decisions, pending []Decision, fits func([]byte) bool) (value []byte, added int) {
	for _, d := range pending {
		extended := append(decisions, d)
		raw, err := job.Encode(extended)
		if err != nil || !fits(raw) {
			break
		}
		decisions = extended
		value = raw
		added++
	}
	return value, added
}

// SplitToFit divides a decision into as many parts as necessary for each of them to fit into a page of its own.
// A part that can't be divided further and still doesn't fit is left out.
func SplitToFit(d Decision, fits func([]byte) bool) []Decision {
	raw, err := job.Encode([]Decision{d})
	if err == nil && fits(raw) {
		return []Decision{d}
	}
	var out []Decision
	for _, part := range d.split() {
		out = append(out, SplitToFit(part, fits)...)
	}
	return out
}
