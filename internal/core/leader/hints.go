package leader

import (
	"hash/fnv"
	"slices"
	"strconv"

	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// Hints are what a leader knows of machines and a later one would have to learn
// anew: where they are and which images they have. They are proof of nothing.
// Many machines share a key, and a page that has changed is written when its
// turn comes: hints get a small part of the changes that the state service
// allows, whatever the size of the fleet.

const (
	hintPrefix = job.Root + "machines/"
	hintPages  = 32
	// hintShare is the part of all changes that hints may take.
	hintShare = 0.05
	// maxImages bounds the images in a machine's hint.
	maxImages = 16
)

// Hint is what is stored of a machine, a format that live clusters share.
type Hint struct {
	//lint:ignore U1000 read by the encoder: a hint is a list, to be short
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	Addr     string
	Type     string
	Zone     string
	Spot     bool
	Images   []string
}

type hintPage struct {
	version uint64
	names   []string
	changed bool // since it was written last
}

func pageOf(machine string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(machine))
	return int(h.Sum32() % hintPages)
}

// noteMachine has a machine's hint written in its turn.
func (l *Leader) noteMachine(name string) { l.pages[pageOf(name)].changed = true }

// writeHints writes one page, now and then.
func (l *Leader) writeHints() {
	if l.box.Now() < l.pageAt {
		return
	}
	n := -1
	for i := range hintPages {
		if k := (l.pageNext + i) % hintPages; l.pages[k].changed {
			n = k
			break
		}
	}
	if n < 0 {
		return
	}
	var hints []Hint
	for _, m := range l.owner.Roster().All() {
		if pageOf(m.Name) == n && !m.Releasing {
			hints = append(hints, Hint{Name: m.Name, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
				Images: m.Cache.Names()})
		}
	}
	p := &l.pages[n]
	p.changed, l.pageNext, l.pageAt = false, n+1, l.box.Now()+l.form.Pause(hintShare)
	value := l.fitHints(hints)
	if value == nil {
		return
	}
	l.box.CommitLater(wire.Commit{
		Guards:  []wire.Guard{l.claim.Guard()},
		Changes: []wire.Change{{Put: hintPrefix + strconv.Itoa(n), Value: value}},
	}, msg.ForHint, func(d msg.CommitDone) { p.changed = p.changed || d.Outcome != msg.OK })
}

// fitHints encodes hints so that they fit a value: images go first, then the
// youngest machines.
func (l *Leader) fitHints(hints []Hint) []byte {
	for most := maxImages; ; most /= 2 {
		for i := range hints {
			hints[i].Images = hints[i].Images[:min(len(hints[i].Images), most)]
		}
		value, err := job.Encode(hints)
		switch {
		case err != nil:
			return nil
		case l.form.Fits(value):
			return value
		case most == 0:
			hints = hints[:len(hints)*7/8]
		}
	}
}

// hintsIn takes a page. A leader that has begun knows better than what was
// written before.
func (l *Leader) hintsIn(name string, ev *wire.Change) {
	n, err := strconv.Atoi(name)
	if err != nil || n < 0 || n >= hintPages || l.ready || ev.Version <= l.pages[n].version {
		return
	}
	p := &l.pages[n]
	var hints []Hint
	if ev.Put != "" && job.Decode(ev.Value, &hints) != nil {
		return
	}
	old := p.names
	p.version, p.names = ev.Version, nil
	for i := range hints {
		h := &hints[i]
		p.names = append(p.names, h.Name)
		m := l.owner.Machine(h.Name)
		m.Cache.Believe(h.Images)
		m.Describe(h.Addr, h.Type, h.Zone, h.Spot)
	}
	for _, gone := range old {
		if !slices.Contains(p.names, gone) {
			l.owner.Roster().Remove(gone)
		}
	}
}
