// Package preemption keeps the decisions by which work is set aside for other work: who wins,
// who yields, which machines are kept for the winner, by which standing and until when. A decision
// is committed before anything is stopped for it, so that an heir goes on with it: the places that
// become free stay the winner's, and nobody is stopped for him a second time.
//
// The package is bookkeeping alone: it packs decisions into pages, tells which of them are in
// force, and counts who yielded to whom. The leader makes them and carries them out.
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
	// KeyPrefix is where the pages of decisions are.
	KeyPrefix = job.KeyRoot + "standing/"
	// PageCount is how many there are.
	PageCount = 8
	// MaxOpenDecisions bounds the decisions that are in force or to be committed.
	MaxOpenDecisions = 256
	// MaxDuration is how long a decision can be in force.
	MaxDuration = 60 * config.Second
)

// PageKey is where a page is.
func PageKey(page int) string { return KeyPrefix + strconv.Itoa(page) }

// ParsePage reads the number of a page from the rest of its key.
func ParsePage(rest string) (int, bool) {
	n, err := strconv.Atoi(rest)
	return n, err == nil && n >= 0 && n < PageCount
}

// Reason tells by which right work yields.
type Reason int

// The rights. They are stored: numbers stay what they mean.
const (
	ReasonPriority        Reason = 1 // the winner's priority is higher
	ReasonGuarantee       Reason = 2 // the winner's team takes back what it is guaranteed
	ReasonDefragmentation Reason = 3 // replicas are moved so that machines become whole for a gang
)

func (w Reason) String() string {
	switch w {
	case ReasonPriority:
		return "priority"
	case ReasonGuarantee:
		return "guarantee"
	case ReasonDefragmentation:
		return "whole machines"
	}
	return "right " + strconv.Itoa(int(w))
}

// WholeGang stands for the tasks of a gang, which yield together.
const WholeGang = -1

// Victim is a task that yields, as it was placed: what has been placed again since is
// another one.
type Victim struct {
	//lint:ignore U1000 read by the encoder: a victim is a list, to be short
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
	Task     int // WholeGang: all
	Attempt  uint64
}

// Decision sets work aside for other work.
type Decision struct {
	//lint:ignore U1000 read by the encoder: a decision is a list, to be short
	_msgpack         struct{} `msgpack:",as_array"`
	Preemptor        string
	Reason           Reason
	Level            int    // at which the winner ranked
	Order            uint64 // 0; kept for a revision of the order in force
	Until            Micros // time of day: the machines are kept until then
	ReservedMachines []string
	Victims          []Victim
}

// InForce tells whether a decision still binds at a time of day. One that says to last for
// longer than any can comes from a clock that is wrong.
func (d *Decision) InForce(wall Micros) bool { return wall < d.Until && d.Until-wall <= MaxDuration }

// split parts a decision in two halves, for pages that are too small for the whole.
func (d *Decision) split() []Decision {
	if len(d.ReservedMachines)+len(d.Victims) <= 1 {
		return nil
	}
	a, b := *d, *d
	a.ReservedMachines, b.ReservedMachines = d.ReservedMachines[:len(d.ReservedMachines)/2], d.ReservedMachines[len(d.ReservedMachines)/2:]
	a.Victims, b.Victims = d.Victims[:(len(d.Victims)+1)/2], d.Victims[(len(d.Victims)+1)/2:]
	return []Decision{a, b}
}

// page is one as it is stored.
type page struct {
	version   uint64
	decisions []Decision
}

// Decisions is what is stored of decisions.
type Decisions struct{ pages [PageCount]page }

// Apply takes a page as the state service has it; a version of 0: there is none.
func (b *Decisions) Apply(n int, version uint64, value []byte) error {
	if version != 0 && version <= b.pages[n].version {
		return nil
	}
	var ds []Decision
	if version != 0 {
		if err := job.Decode(value, &ds); err != nil {
			return err
		}
	}
	b.pages[n] = page{version, ds}
	return nil
}

// Version is a page's.
func (b *Decisions) Version(n int) uint64 { return b.pages[n].version }

// InForce lists the decisions that bind at a time of day, those of one winner one after the
// other.
func (b *Decisions) InForce(wall Micros) []Decision {
	var out []Decision
	for n := range b.pages {
		for _, d := range b.pages[n].decisions {
			if d.InForce(wall) {
				out = append(out, d)
			}
		}
	}
	slices.SortStableFunc(out, func(x, y Decision) int { return cmp.Compare(x.Preemptor, y.Preemptor) })
	return out
}

// PageWrite is a page to be written.
type PageWrite struct {
	Page    int
	Version uint64 // that it is written over
	Value   []byte
}

// Pack puts fresh decisions into as few pages as take them, beside those there that are still
// needed, and returns the pages to write, at most so many, and how many of the decisions are in
// them. Whatever is not needed any more goes from a page that is written.
func (b *Decisions) Pack(fresh []Decision, most int, needed func(*Decision) bool, fits func([]byte) bool) (writes []PageWrite, packed int) {
	order := make([]int, PageCount)
	kept := make([][]Decision, PageCount)
	for n := range b.pages {
		order[n] = n
		for _, d := range b.pages[n].decisions {
			if needed(&d) {
				kept[n] = append(kept[n], d)
			}
		}
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(len(kept[x]), len(kept[y])) })
	for _, n := range order {
		if packed == len(fresh) || len(writes) == most {
			break
		}
		var value []byte
		for packed < len(fresh) {
			raw, err := job.Encode(append(kept[n], fresh[packed]))
			if err != nil || !fits(raw) {
				break
			}
			kept[n] = append(kept[n], fresh[packed])
			value = raw
			packed++
		}
		if value != nil {
			writes = append(writes, PageWrite{n, b.pages[n].version, value})
		}
	}
	return writes, packed
}

// SplitToFit returns a decision in as many parts as it takes for each to fit into a page alone.
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
