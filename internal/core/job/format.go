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
	// Placements is the first format: each open placement stands for itself, and
	// no job needs another. Its writer, and this name, may go once no deployment
	// is left that has not raised its format; its reader once no value of it is. What
	// serves it alone asks whether the format is below Grouped.
	Placements Format = 1
	// Grouped puts the tasks that one machine has of a job into one group, and
	// descriptions may name needed jobs.
	Grouped Format = 2
	// Standing has leaders commit by which decisions work is set aside before they stop it. Open
	// placements have the time at which they were made, parts and the log of ended attempts what
	// was used, and what is left of a job that is over has its account.
	Standing Format = 3
	// SharedParts has leaders place tasks of many jobs in one value, see package records. A record
	// doesn't tell any more by itself whether anything of its job was ever placed.
	SharedParts Format = 4
	// Newest is the last format that this version reads.
	Newest = SharedParts
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

// timed is a group with the time at which its tasks were placed: twice that, and one more on a
// spot machine.
type timed struct {
	//lint:ignore U1000 read by the encoder: a group is a list, to be short
	_msgpack struct{} `msgpack:",as_array"`
	First    int
	Tasks    string
	Attempt  uint64
	Machine  string
	Session  uint64
	Zone     string
	At       int64
}

// pack returns the part as the format writes it.
func (p Part) pack(f Format) Part {
	if f < Standing {
		p.Spent = nil
	}
	if f < Grouped || len(p.Open) == 0 {
		return p
	}
	type at struct {
		attempt, session uint64
		machine, zone    string
		time             int64
	}
	var order []at
	masks := map[at]uint64{}
	first := p.Open[0].Task / PartTasks * PartTasks
	for _, o := range p.Open {
		k := at{o.Attempt, o.Session, o.Machine, o.Zone, 0}
		if f >= Standing {
			if k.time = o.At * 2; o.Cheap {
				k.time++
			}
		}
		if masks[k] == 0 {
			order = append(order, k)
		}
		masks[k] |= 1 << uint(o.Task%PartTasks)
	}
	q := Part{Done: p.Done, Spent: p.Spent}
	for _, k := range order {
		if f >= Standing {
			q.Timed = append(q.Timed, timed{First: first, Tasks: strconv.FormatUint(masks[k], 16), Attempt: k.attempt,
				Machine: k.machine, Session: k.session, Zone: k.zone, At: k.time})
			continue
		}
		q.Groups = append(q.Groups, group{First: first, Tasks: strconv.FormatUint(masks[k], 16), Attempt: k.attempt,
			Machine: k.machine, Session: k.session, Zone: k.zone})
	}
	return q
}

// unpack turns groups into placements.
func (p *Part) unpack() {
	for _, g := range p.Groups {
		p.Timed = append(p.Timed, timed{First: g.First, Tasks: g.Tasks, Attempt: g.Attempt, Machine: g.Machine, Session: g.Session, Zone: g.Zone})
	}
	for _, g := range p.Timed {
		mask, _ := strconv.ParseUint(g.Tasks, 16, 64)
		for i := range PartTasks {
			if mask>>uint(i)&1 == 1 {
				p.Open = append(p.Open, Placement{Task: g.First + i, Attempt: g.Attempt, Machine: g.Machine, Session: g.Session, Zone: g.Zone,
					At: g.At / 2, Cheap: g.At%2 == 1})
			}
		}
	}
	if p.Timed != nil {
		p.Groups, p.Timed = nil, nil
		slices.SortStableFunc(p.Open, func(a, b Placement) int { return a.Task - b.Task })
	}
}

// EncodeRecord turns a record into a value.
func EncodeRecord(r *Record, f Format) ([]byte, error) {
	c := *r
	c.Part = r.pack(f)
	return Encode(&c)
}

// EncodePart turns a part into a value.
func EncodePart(p *Part, f Format) ([]byte, error) {
	q := p.pack(f)
	return Encode(&q)
}

// DecodeRecord reads a record of any format.
func DecodeRecord(b []byte, r *Record) error {
	err := Decode(b, r)
	r.unpack()
	return err
}

// DecodePart reads a part of any format.
func DecodePart(b []byte, p *Part) error {
	err := Decode(b, p)
	p.unpack()
	return err
}

// Encode turns anything else that is stored into a value.
func Encode(v any) ([]byte, error) { return msgpack.Marshal(v) }

// Decode is the reverse of Encode.
func Decode(b []byte, v any) error { return wire.Unmarshal(b, v) }
