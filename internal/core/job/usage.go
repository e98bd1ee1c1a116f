package job

import (
	"math"

	"coralhub/wire"
)

// Times of placements are stored in tenths of a second from a job's acceptance, plus one; 0: not
// known, as in the formats before Standing.
const timeUnit = 100_000

// EncodeTime is how a time of day is stored in a job that was accepted at some time.
func EncodeTime(created, wall int64) int64 {
	if created == 0 || wall == 0 {
		return 0
	}
	return max(0, (wall-created)/timeUnit) + 1
}

// DecodeTime is the time of day that such a time stands for; 0: not known.
func DecodeTime(created, at int64) int64 {
	if created == 0 || at == 0 {
		return 0
	}
	return created + (at-1)*timeUnit
}

// Usage is how long tasks have had places whose end is proven, in microseconds: from the
// placement to the proof.
type Usage struct {
	//lint:ignore U1000 read by the encoder: a list, to be short
	_msgpack struct{} `msgpack:",as_array"`
	Time     int64
	Spot     int64 // of it, on spot machines
	Lost     int64 // of it, work that has to be repeated
}

// Plus adds two; either may be nil, and neither is changed.
func (s *Usage) Plus(o *Usage) *Usage {
	switch {
	case o == nil:
		return s
	case s == nil:
		return o
	}
	return &Usage{Time: s.Time + o.Time, Spot: s.Spot + o.Spot, Lost: s.Lost + o.Lost}
}

// Occupancy is the end of a task's stay on a machine.
type Occupancy struct {
	End  int64 // 0: not known, nothing is charged
	Lost int64 // tenths of a second that have to be repeated
}

// usage is what a placement that ends has spent.
func (p *Placement) usage(s Occupancy) *Usage {
	if p.PlacedAt == 0 || s.End == 0 || s.End <= p.PlacedAt {
		return nil
	}
	d := (s.End - p.PlacedAt) * timeUnit
	out := &Usage{Time: d, Lost: min(d, s.Lost*timeUnit)}
	if p.Spot {
		out.Spot = d
	}
	return out
}

// Close closes the placement of a task's attempt on a machine, and charges it: what is not open
// any more has been charged.
func (p *Shard) Close(task int, attempt uint64, machine string, s Occupancy) bool {
	i := p.find(task, attempt, machine)
	if i < 0 {
		return false
	}
	p.Usage = p.Usage.Plus(p.Open[i].usage(s))
	return p.Remove(task, attempt, machine)
}

// ResourceUsage is what a job has used: machine amounts times time, in microseconds.
type ResourceUsage struct {
	//lint:ignore U1000 read by the encoder: a list, to be short
	_msgpack         struct{} `msgpack:",as_array"`
	CPU, GPU, Memory int64    // of cores, GPUs, GB
	Time, Spot, Lost int64    // of tasks, see Spent
}

// Plus adds n times another.
func (u ResourceUsage) Plus(o ResourceUsage, n int64) ResourceUsage {
	return ResourceUsage{CPU: u.CPU + n*o.CPU, GPU: u.GPU + n*o.GPU, Memory: u.Memory + n*o.Memory,
		Time: u.Time + n*o.Time, Spot: u.Spot + n*o.Spot, Lost: u.Lost + n*o.Lost}
}

// ResourceUsageOf is what a job's tasks have used.
func ResourceUsageOf(spec *wire.Job, s *Usage) ResourceUsage {
	if s == nil {
		return ResourceUsage{}
	}
	times := func(amount float64) int64 { return int64(math.Round(amount * float64(s.Time))) }
	return ResourceUsage{CPU: times(spec.CPUs), GPU: times(spec.GPUs), Memory: times(spec.MemoryGB), Time: s.Time, Spot: s.Spot, Lost: s.Lost}
}

// UsageAccount is what is kept of a job's use when it is over.
type UsageAccount struct {
	//lint:ignore U1000 read by the encoder: a list, to be short
	_msgpack    struct{} `msgpack:",as_array"`
	Team, Class string
	Service     bool
	Usage       ResourceUsage
	End         int64 // time of day in seconds; 0: not known
}

// NewUsageAccount is the account of a job whose tasks have used so much, and ended at a time of day; nil:
// they have used nothing.
func NewUsageAccount(spec *wire.Job, s *Usage, wall int64) *UsageAccount {
	if s == nil {
		return nil
	}
	return &UsageAccount{Team: spec.Team, Class: spec.Class, Service: spec.Shape == wire.Service, Usage: ResourceUsageOf(spec, s), End: wall / 1e6}
}
