package job

import (
	"math"

	"coralhub/wire"
)

// EncodedTimesPerSecond is the number of units of encoded time per second, see EncodeTime.
const EncodedTimesPerSecond = 10

// timeUnit is the unit of encoded times, in microseconds.
const timeUnit = 1_000_000 / EncodedTimesPerSecond

const microsPerSecond = 1_000_000

// EncodeTime encodes a time of day as it is stored with the placements of a job: in tenths of a
// second since the job's creation, plus one. 0 means unknown, as in all formats before
// FormatPreemption. Both arguments are times of day in microseconds.
func EncodeTime(created, wall int64) int64 {
	if created == 0 || wall == 0 {
		return 0
	}
	return max(0, (wall-created)/timeUnit) + 1
}

// DecodeTime is the inverse of EncodeTime. It returns a time of day in microseconds, or 0 if unknown.
func DecodeTime(created, encoded int64) int64 {
	if created == 0 || encoded == 0 {
		return 0
	}
	return created + (encoded-1)*timeUnit
}

// Usage is the time for which tasks have occupied machines, in microseconds. It counts closed
// placements only, from the placement to the proof of its end.
type Usage struct {
	//lint:ignore U1000 read by the encoder: encoded as an array, to be short
	_msgpack struct{} `msgpack:",as_array"`
	Time     int64
	Spot     int64 // part of Time that was on spot instances
	Lost     int64 // part of Time whose work has to be repeated
}

// Plus returns the sum of two usages. Either may be nil, and neither is modified.
func (u *Usage) Plus(other *Usage) *Usage {
	switch {
	case other == nil:
		return u
	case u == nil:
		return other
	}
	return &Usage{Time: u.Time + other.Time, Spot: u.Spot + other.Spot, Lost: u.Lost + other.Lost}
}

// Occupancy describes the end of a task's occupancy of a machine.
type Occupancy struct {
	End  int64 // see EncodeTime; 0 if unknown, in which case nothing is charged
	Lost int64 // work that has to be repeated, in tenths of a second
}

// usage returns the usage of a placement that has ended. It returns nil if the duration is unknown,
// or not positive because the clock was set back.
func (p *Placement) usage(occupancy Occupancy) *Usage {
	if p.PlacedAt == 0 || occupancy.End == 0 || occupancy.End <= p.PlacedAt {
		return nil
	}
	duration := (occupancy.End - p.PlacedAt) * timeUnit
	u := &Usage{Time: duration, Lost: min(duration, occupancy.Lost*timeUnit)}
	if p.Spot {
		u.Spot = duration
	}
	return u
}

// ResourceUsage is the resources that a job has used: amounts of resources times microseconds.
type ResourceUsage struct {
	//lint:ignore U1000 read by the encoder: encoded as an array, to be short
	_msgpack         struct{} `msgpack:",as_array"`
	CPU, GPU, Memory int64    // core-microseconds, GPU-microseconds and GB-microseconds
	Time, Spot, Lost int64    // task time in microseconds, see Usage
}

// Plus returns the sum of u and n times another usage.
func (u ResourceUsage) Plus(other ResourceUsage, n int64) ResourceUsage {
	return ResourceUsage{
		CPU:    u.CPU + n*other.CPU,
		GPU:    u.GPU + n*other.GPU,
		Memory: u.Memory + n*other.Memory,
		Time:   u.Time + n*other.Time,
		Spot:   u.Spot + n*other.Spot,
		Lost:   u.Lost + n*other.Lost,
	}
}

// ResourceUsageOf returns the resources that the tasks of a job have used during the time in usage,
// which may be nil.
func ResourceUsageOf(spec *wire.Job, usage *Usage) ResourceUsage {
	if usage == nil {
		return ResourceUsage{}
	}
	overTime := func(amount float64) int64 { return int64(math.Round(amount * float64(usage.Time))) }
	return ResourceUsage{
		CPU:    overTime(spec.CPUs),
		GPU:    overTime(spec.GPUs),
		Memory: overTime(spec.MemoryGB),
		Time:   usage.Time,
		Spot:   usage.Spot,
		Lost:   usage.Lost,
	}
}

// UsageAccount is the total usage of a finished job, as kept in its record.
type UsageAccount struct {
	//lint:ignore U1000 read by the encoder: encoded as an array, to be short
	_msgpack    struct{} `msgpack:",as_array"`
	Team, Class string
	Service     bool
	Usage       ResourceUsage
	End         int64 // time of day at which the job ended, in seconds; 0 if unknown
}

// NewUsageAccount returns the account of a job that ended at a time of day in microseconds, 0 if
// unknown. It returns nil if usage is nil.
func NewUsageAccount(spec *wire.Job, usage *Usage, wall int64) *UsageAccount {
	if usage == nil {
		return nil
	}
	return &UsageAccount{
		Team:    spec.Team,
		Class:   spec.Class,
		Service: spec.Shape == wire.Service,
		Usage:   ResourceUsageOf(spec, usage),
		End:     wall / microsPerSecond,
	}
}
