package estimate

import (
	"cmp"
	"encoding/base64"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"slices"

	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"
)

// What has been learnt is kept in a few values, each with the kinds of work whose names
// hash to it. A value holds apart what its writer's epoch has learnt itself and what it
// had from earlier ones: so two values can be put together in any order, and nothing
// counts twice. Losing a value loses evidence and nothing else.

// Chunks is how many values a Model is kept in.
const Chunks = 4

// version is of the form of stored values.
const version = 1

var (
	// ErrVersion marks a value that a later version has written.
	ErrVersion = errors.New("written by a later version")
	// ErrDamaged marks a value that can't be read.
	ErrDamaged = errors.New("damaged")
)

// envelope is the value as the state service has it: texts and numbers alone.
type envelope struct {
	Version int    `msgpack:"v"`
	Data    string `msgpack:"d"` // base64 of zstd, which checks its sum, of a Chunk
}

// Chunk is the content of a value.
type Chunk struct {
	UpTo   uint64 // Base is what the epochs up to this one have learnt
	Epoch  uint64 // Own is of this one
	Seen   uint64 // runs that it had learnt from
	Base   []storedGroup
	Own    []storedGroup
	Trust  []storedTrust
	Speeds []storedSpeed
}

type storedGroup struct {
	//lint:ignore U1000 read by the encoder: a group is a list, to be short
	_msgpack struct{} `msgpack:",as_array"`
	Level    uint8
	A, B     string
	Class    string
	Gen      uint32
	Alone    bool
	Used     uint64 // orders the groups of a model by their last use
	Sums     [7]int64
	Errors   []int64 // bin, ends, longer; bins by their distance from the one before
}

type storedTrust struct {
	//lint:ignore U1000 read by the encoder
	_msgpack struct{} `msgpack:",as_array"`
	Class    string
	Stated   uint16
	Inside   [3]uint16
}

type storedSpeed struct {
	//lint:ignore U1000 read by the encoder
	_msgpack struct{} `msgpack:",as_array"`
	Machine  string
	N        uint16
	Sum      int32 // in thousandths, as Spread
	Spread   int32
}

func chunkOf(k key) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte{byte(k.level)})
	_, _ = h.Write([]byte(k.a))
	_, _ = h.Write([]byte(k.b))
	return int(h.Sum32() % Chunks)
}

func (g *group) stored(k key, t *tally) storedGroup {
	s := storedGroup{Level: uint8(k.level), A: k.a, B: k.b, Class: g.class, Gen: g.gen, Alone: g.alone, Used: g.used,
		Sums: [7]int64{t.N, t.Y, t.Nx, t.X, t.Yx, t.XX, t.XY}}
	last := 0
	for i := range t.Ends {
		if t.Ends[i] > 0 || t.Longer[i] > 0 {
			s.Errors = append(s.Errors, int64(i-last), int64(t.Ends[i]), int64(t.Longer[i]))
			last = i
		}
	}
	return s
}

// restore checks as it reads: what is stored may come from anywhere.
func (s *storedGroup) restore() (key, tally, error) {
	k := key{Level(s.Level), s.A, s.B}
	var t tally
	if k.level < Everything || k.level >= levels || len(s.Errors)%3 != 0 {
		return k, t, fmt.Errorf("%w: group %d %q %q", ErrDamaged, s.Level, s.A, s.B)
	}
	t.N, t.Y, t.Nx, t.X, t.Yx, t.XX, t.XY = s.Sums[0], s.Sums[1], s.Sums[2], s.Sums[3], s.Sums[4], s.Sums[5], s.Sums[6]
	const most = 1 << 40
	for _, v := range s.Sums {
		if v > most || v < -most {
			return k, t, fmt.Errorf("%w: sum %d", ErrDamaged, v)
		}
	}
	if t.N < 0 || t.Nx < 0 || t.Nx > t.N || t.N > 16*memory || t.XX < 0 {
		return k, t, fmt.Errorf("%w: %d runs, %d with an estimate", ErrDamaged, t.N, t.Nx)
	}
	for _, mean := range []float64{float64(t.Y) / math.Max(float64(t.N), 1), float64(t.X) / math.Max(float64(t.Nx), 1),
		float64(t.Yx) / math.Max(float64(t.Nx), 1)} {
		if math.Abs(mean)*unit > 30 {
			return k, t, fmt.Errorf("%w: a mean of %v", ErrDamaged, mean*unit)
		}
	}
	bin := int64(0)
	for i := 0; i < len(s.Errors); i += 3 {
		bin += s.Errors[i]
		if bin < 0 || bin >= bins || s.Errors[i] < 0 || s.Errors[i+1] < 0 || s.Errors[i+2] < 0 ||
			s.Errors[i+1] > math.MaxUint16 || s.Errors[i+2] > math.MaxUint16 {
			return k, t, fmt.Errorf("%w: errors", ErrDamaged)
		}
		t.Ends[bin], t.Longer[bin] = uint16(s.Errors[i+1]), uint16(s.Errors[i+2])
		t.Errors += s.Errors[i+1]
	}
	return k, t, nil
}

// Chunk returns the n-th part of what is known, of groups that were used last if there
// are more than most; 0 means all.
func (m *Model) Chunk(n, most int) *Chunk {
	c := &Chunk{UpTo: m.upTo, Epoch: m.epoch, Seen: m.seen}
	var keys []key
	for _, k := range sortedGroups(m.groups) {
		if chunkOf(k) == n && m.groups[k].N > 0 {
			keys = append(keys, k)
		}
	}
	if most > 0 && len(keys) > most {
		slices.SortStableFunc(keys, func(a, b key) int { return cmp.Compare(m.groups[b].used, m.groups[a].used) })
		keys = keys[:most]
	}
	for _, k := range keys {
		g := m.groups[k]
		if g.base.N > 0 || g.base.Errors > 0 {
			c.Base = append(c.Base, g.stored(k, &g.base))
		}
		own := g.tally
		own.plus(&g.base, -1)
		own.N, own.Nx, own.XX = max(own.N, 0), min(max(own.Nx, 0), max(own.N, 0)), max(own.XX, 0) // halves are rounded
		if own.N > 0 || own.Errors > 0 {
			c.Own = append(c.Own, g.stored(k, &own))
		}
	}
	if n == 0 {
		for class, t := range m.trust {
			c.Trust = append(c.Trust, storedTrust{Class: class, Stated: uint16(t.stated),
				Inside: [3]uint16{uint16(t.inside[0]), uint16(t.inside[1]), uint16(t.inside[2])}})
		}
		slices.SortFunc(c.Trust, func(a, b storedTrust) int { return cmp.Compare(a.Class, b.Class) })
		for name, s := range m.machines {
			if s.slowness() != 0 {
				c.Speeds = append(c.Speeds, storedSpeed{Machine: name, N: uint16(s.n), Sum: int32(s.sum * 1000), Spread: int32(s.spread * 1000)})
			}
		}
		slices.SortFunc(c.Speeds, func(a, b storedSpeed) int { return cmp.Compare(a.Machine, b.Machine) })
	}
	return c
}

// Encode returns the n-th value, with as much as fits; fits tells whether an encoded
// value does. It returns nil if there is nothing to be kept.
func (m *Model) Encode(n int, fits func([]byte) bool) ([]byte, error) {
	most := 0
	for {
		c := m.Chunk(n, most)
		kept := max(len(c.Base), len(c.Own))
		if kept == 0 {
			return nil, nil
		}
		raw, err := c.Encode()
		if err != nil || fits(raw) {
			return raw, err
		}
		if kept == 1 {
			return nil, nil
		}
		if most = kept * 3 / 4; most == 0 {
			most = 1
		}
	}
}

// Encode returns a chunk as a value.
func (c *Chunk) Encode() ([]byte, error) {
	plain, err := msgpack.Marshal(c)
	if err != nil {
		return nil, err
	}
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithWindowSize(64<<10))
	if err != nil {
		return nil, err
	}
	defer func() { _ = w.Close() }() // EncodeAll has written everything
	return msgpack.Marshal(envelope{version, base64.StdEncoding.EncodeToString(w.EncodeAll(plain, nil))})
}

// maxPlain bounds what a value may unfold to.
const maxPlain = 1 << 20

// Decode reads a value.
func Decode(raw []byte) (*Chunk, error) {
	var e envelope
	if err := msgpack.Unmarshal(raw, &e); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if e.Version > version {
		return nil, fmt.Errorf("%w: %d", ErrVersion, e.Version)
	}
	packed, err := base64.StdEncoding.DecodeString(e.Data)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxPlain), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, err
	}
	defer r.Close()
	plain, err := r.DecodeAll(packed, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	c := &Chunk{}
	if err := msgpack.Unmarshal(plain, c); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	for _, list := range [][]storedGroup{c.Base, c.Own} {
		for i := range list {
			if _, _, err := list[i].restore(); err != nil {
				return nil, err
			}
		}
	}
	return c, nil
}

// part is evidence of one origin.
type part struct {
	epoch, seen uint64
	groups      []storedGroup
}

// Restore returns a Model of a new epoch that knows what the chunks say, in whichever
// order they come and however often: of one epoch the fullest counts, and what one of
// them has taken over from an epoch is not added again.
func Restore(s Settings, epoch uint64, chunks ...*Chunk) *Model {
	m := New(s, epoch)
	m.upTo = epoch - 1
	for n := range Chunks {
		m.restoreChunk(n, chunks)
	}
	trusted := map[string]storedTrust{}
	fast := map[string]storedSpeed{}
	for _, c := range chunks {
		for _, t := range c.Trust {
			if t.Stated > trusted[t.Class].Stated || t.Stated == trusted[t.Class].Stated && less3(trusted[t.Class].Inside, t.Inside) {
				trusted[t.Class] = t
			}
		}
		for _, x := range c.Speeds {
			if o := fast[x.Machine]; x.N > o.N || x.N == o.N && (x.Sum > o.Sum || x.Sum == o.Sum && x.Spread > o.Spread) {
				fast[x.Machine] = x
			}
		}
	}
	for class, t := range trusted {
		if len(m.trust) < m.settings.Groups && t.Stated > 0 {
			o := &trust{stated: float64(t.Stated)}
			for i, in := range t.Inside {
				o.inside[i] = math.Min(float64(in), o.stated)
			}
			m.trust[class] = o
		}
	}
	for name, x := range fast {
		if len(m.machines) < m.settings.Machines && x.N > 0 {
			m.machines[name] = &speed{n: float64(x.N), sum: float64(x.Sum) / 1000, spread: math.Max(float64(x.Spread)/1000, 0)}
		}
	}
	return m
}

func less3(a, b [3]uint16) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}

// restoreChunk puts together what the chunks say of the groups of one value.
func (m *Model) restoreChunk(n int, chunks []*Chunk) {
	var base part
	owns := map[uint64]part{}
	of := func(list []storedGroup) (out []storedGroup) {
		for _, g := range list {
			if chunkOf(key{Level(g.Level), g.A, g.B}) == n {
				out = append(out, g)
			}
		}
		return out
	}
	for _, c := range chunks {
		if b := of(c.Base); len(b) > 0 {
			p := part{c.UpTo, c.Seen, b}
			if base.groups == nil || p.newer(&base) {
				base = p
			}
		}
		if o := of(c.Own); len(o) > 0 {
			p := part{c.Epoch, c.Seen, o}
			if old, had := owns[c.Epoch]; !had || p.newer(&old) {
				owns[c.Epoch] = p
			}
		}
	}
	parts := []part{base}
	for _, p := range owns {
		if base.groups == nil || p.epoch > base.epoch {
			parts = append(parts, p)
		}
	}
	slices.SortFunc(parts, func(a, b part) int { return cmp.Compare(a.epoch, b.epoch) })
	for _, p := range parts {
		for i := range p.groups {
			m.takeOver(&p.groups[i])
		}
	}
}

// newer orders parts of one origin.
func (p *part) newer(o *part) bool {
	if p.epoch != o.epoch {
		return p.epoch > o.epoch
	}
	if p.seen != o.seen {
		return p.seen > o.seen
	}
	return len(p.groups) > len(o.groups)
}

// takeOver adds stored evidence. After a change, only what came since counts.
func (m *Model) takeOver(s *storedGroup) {
	k, t, err := s.restore()
	if err != nil {
		return // checked when it was decoded
	}
	m.clock = max(m.clock, s.Used)
	g := m.group(k, s.Class)
	g.used = max(g.used, s.Used)
	switch {
	case s.Gen < g.gen:
		return
	case s.Gen > g.gen:
		g.tally, g.base, g.gen, g.alone = tally{}, tally{}, s.Gen, s.Alone
	}
	g.alone = g.alone || s.Alone
	g.plus(&t, 1)
	g.base = g.tally
	g.reckon()
}
