package job

import (
	"slices"
	"strconv"

	"github.com/vmihailenco/msgpack/v5"

	"coralhub/wire"
)

// Format is how values are written. Nodes of different versions run side by
// side during an upgrade, and one that doesn't know a field drops it when it
// rewrites a value. So a node writes what the format in force says, which is
// raised once every node has announced that it reads the next; it reads all
// formats up to Newest.
type Format int

const (
	// FormatPlacements is the first format: each open placement stands for itself, and
	// no job needs another. Its writer, and this name, may go once no deployment
	// is left that has not raised its format; its reader once no value of it is. What
	// serves it alone asks whether the format is below Grouped.
	FormatPlacements Format = 1
	// FormatGrouped puts the tasks that one machine has of a job into one group, and
	// descriptions may name needed jobs.
	FormatGrouped Format = 2
	// FormatPreemption has leaders commit by which decisions work is set aside before they stop it. Open
	// placements have the time at which they were made, parts and the log of ended attempts what
	// was used, and what is left of a job that is over has its account.
	FormatPreemption Format = 3
	// FormatPlacementPages has leaders place tasks of many jobs in one value, see package records. A record
	// doesn't tell any more by itself whether anything of its job was ever placed.
	FormatPlacementPages Format = 4
	// NewestFormat is the last format that this version reads.
	NewestFormat = FormatPlacementPages
)

// group is the tasks of a part that share a machine and an attempt.
type group struct {
	//lint:ignore U1000 read by the encoder: a group is a list, to be short
	_msgpack struct{} `msgpack:",as_array"`
	First    int      // task number that bit 0 stands for
	Tasks    string
	Attempt  uint64
	Machine  string
	Session  uint64
	Zone     string
}

// timedGroup is a group with the time at which its tasks were placed: twice that, and one more on a
// spot machine.
type timedGroup struct {
	//lint:ignore U1000 read by the encoder: a group is a list, to be short
	_msgpack struct{} `msgpack:",as_array"`
	First    int
	Tasks    string
	Attempt  uint64
	Machine  string
	Session  uint64
	Zone     string
	PlacedAt int64
}

// pack returns the part as the format writes it.
func (p Shard) pack(f Format) Shard {
	if f < FormatPreemption {
		p.Usage = nil
	}
	if f < FormatGrouped || len(p.Open) == 0 {
		return p
	}
	type at struct {
		attempt, session uint64
		machine, zone    string
		time             int64
	}
	var order []at
	masks := map[at]uint64{}
	first := p.Open[0].Task / TasksPerShard * TasksPerShard
	for _, o := range p.Open {
		k := at{o.Attempt, o.Session, o.Machine, o.Zone, 0}
		if f >= FormatPreemption {
			if k.time = o.PlacedAt * 2; o.Spot {
				k.time++
			}
		}
		if masks[k] == 0 {
			order = append(order, k)
		}
		masks[k] |= 1 << uint(o.Task%TasksPerShard)
	}
	q := Shard{DoneSet: p.DoneSet, Usage: p.Usage}
	for _, k := range order {
		if f >= FormatPreemption {
			q.TimedGroups = append(q.TimedGroups, timedGroup{First: first, Tasks: strconv.FormatUint(masks[k], 16), Attempt: k.attempt,
				Machine: k.machine, Session: k.session, Zone: k.zone, PlacedAt: k.time})
			continue
		}
		q.Groups = append(q.Groups, group{First: first, Tasks: strconv.FormatUint(masks[k], 16), Attempt: k.attempt,
			Machine: k.machine, Session: k.session, Zone: k.zone})
	}
	return q
}

// unpack turns groups into placements.
func (p *Shard) unpack() {
	for _, g := range p.Groups {
		p.TimedGroups = append(p.TimedGroups, timedGroup{First: g.First, Tasks: g.Tasks, Attempt: g.Attempt, Machine: g.Machine, Session: g.Session, Zone: g.Zone})
	}
	for _, g := range p.TimedGroups {
		mask, _ := strconv.ParseUint(g.Tasks, 16, 64)
		for i := range TasksPerShard {
			if mask>>uint(i)&1 == 1 {
				p.Open = append(p.Open, Placement{Task: g.First + i, Attempt: g.Attempt, Machine: g.Machine, Session: g.Session, Zone: g.Zone,
					PlacedAt: g.PlacedAt / 2, Spot: g.PlacedAt%2 == 1})
			}
		}
	}
	if p.TimedGroups != nil {
		p.Groups, p.TimedGroups = nil, nil
		slices.SortStableFunc(p.Open, func(a, b Placement) int { return a.Task - b.Task })
	}
}

// EncodeRecord turns a record into a value.
func EncodeRecord(r *Record, f Format) ([]byte, error) {
	c := *r
	c.Shard = r.pack(f)
	return Encode(&c)
}

// EncodeShard turns a part into a value.
func EncodeShard(p *Shard, f Format) ([]byte, error) {
	q := p.pack(f)
	return Encode(&q)
}

// DecodeRecord reads a record of any format.
func DecodeRecord(b []byte, r *Record) error {
	err := Decode(b, r)
	r.unpack()
	return err
}

// DecodeShard reads a part of any format.
func DecodeShard(b []byte, p *Shard) error {
	err := Decode(b, p)
	p.unpack()
	return err
}

// Encode turns anything else that is stored into a value.
func Encode(v any) ([]byte, error) { return msgpack.Marshal(v) }

// Decode is the reverse of Encode.
func Decode(b []byte, v any) error { return wire.Unmarshal(b, v) }
