package job

import (
	"math"

	"coralhub/wire"
)

// Times of placements are stored in tenths of a second from a job's acceptance, plus one; 0: not
// known, as in the formats before Standing.
const tenth = 100_000

// TimeOf is how a time of day is stored in a job that was accepted at some time.
func TimeOf(created, wall int64) int64 {
	if created == 0 || wall == 0 {
		return 0
	}
	return max(0, (wall-created)/tenth) + 1
}

// TimeAt is the time of day that such a time stands for; 0: not known.
func TimeAt(created, at int64) int64 {
	if created == 0 || at == 0 {
		return 0
	}
	return created + (at-1)*tenth
}

// Spent is how long tasks have had places whose end is proven, in microseconds: from the
// placement to the proof.
type Spent struct {
	//lint:ignore U1000 read by the encoder: a list, to be short
	_msgpack struct{} `msgpack:",as_array"`
	Time     int64
	Cheap    int64 // of it, on spot machines
	Lost     int64 // of it, work that has to be repeated
}

// Plus adds two; either may be nil, and neither is changed.
func (s *Spent) Plus(o *Spent) *Spent {
	switch {
	case o == nil:
		return s
	case s == nil:
		return o
	}
	return &Spent{Time: s.Time + o.Time, Cheap: s.Cheap + o.Cheap, Lost: s.Lost + o.Lost}
}

// Stay is the end of a task's stay on a machine.
type Stay struct {
	End  int64 // 0: not known, nothing is charged
	Lost int64 // tenths of a second that have to be repeated
}

// charge is what a placement that ends has spent.
func (p *Placement) charge(s Stay) *Spent {
	if p.At == 0 || s.End == 0 || s.End <= p.At {
		return nil
	}
	d := (s.End - p.At) * tenth
	out := &Spent{Time: d, Lost: min(d, s.Lost*tenth)}
	if p.Cheap {
		out.Cheap = d
	}
	return out
}

// Close closes the placement of a task's attempt on a machine, and charges it: what is not open
// any more has been charged.
func (p *Part) Close(task int, attempt uint64, machine string, s Stay) bool {
	i := p.find(task, attempt, machine)
	if i < 0 {
		return false
	}
	p.Spent = p.Spent.Plus(p.Open[i].charge(s))
	return p.Remove(task, attempt, machine)
}

// Use is what a job has used: machine amounts times time, in microseconds.
type Use struct {
	//lint:ignore U1000 read by the encoder: a list, to be short
	_msgpack          struct{} `msgpack:",as_array"`
	CPU, GPU, Memory  int64    // of cores, GPUs, GB
	Time, Cheap, Lost int64    // of tasks, see Spent
}

// Plus adds n times another.
func (u Use) Plus(o Use, n int64) Use {
	return Use{CPU: u.CPU + n*o.CPU, GPU: u.GPU + n*o.GPU, Memory: u.Memory + n*o.Memory,
		Time: u.Time + n*o.Time, Cheap: u.Cheap + n*o.Cheap, Lost: u.Lost + n*o.Lost}
}

// UseOf is what a job's tasks have used.
func UseOf(spec *wire.Job, s *Spent) Use {
	if s == nil {
		return Use{}
	}
	times := func(amount float64) int64 { return int64(math.Round(amount * float64(s.Time))) }
	return Use{CPU: times(spec.CPUs), GPU: times(spec.GPUs), Memory: times(spec.MemoryGB), Time: s.Time, Cheap: s.Cheap, Lost: s.Lost}
}

// Account is what is kept of a job's use when it is over.
type Account struct {
	//lint:ignore U1000 read by the encoder: a list, to be short
	_msgpack    struct{} `msgpack:",as_array"`
	Team, Class string
	Service     bool
	Use         Use
	End         int64 // time of day in seconds; 0: not known
}

// AccountOf is the account of a job whose tasks have used so much, and ended at a time of day; nil:
// they have used nothing.
func AccountOf(spec *wire.Job, s *Spent, wall int64) *Account {
	if s == nil {
		return nil
	}
	return &Account{Team: spec.Team, Class: spec.Class, Service: spec.Shape == wire.Service, Use: UseOf(spec, s), End: wall / 1e6}
}
