package autoscaler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"coralhub/internal/config"
	"coralhub/wire"
)

// Micros is a time or a duration in whole microseconds.
type Micros = config.Micros

const (
	// exhaustedBackoff is how long nothing is requested from a pool after the cloud had no
	// capacity there.
	exhaustedBackoff = 10 * config.Second
	// requestRetryDelay is the delay before a request without an answer is sent again.
	requestRetryDelay = config.Second
	// lookaheadSeconds limits pending requests to the number that the cloud accepts in this time.
	// If the whole demand of a flood were requested at once, some 300 requests would delay the list of
	// machines and the deletion of failed ones by a minute, although the first answer would show that
	// the cloud has no capacity.
	lookaheadSeconds = 5
	// maxInFlight is the maximum number of requests in flight.
	maxInFlight = 8
)

// Pool identifies the machines of one type in one zone, either spot instances or on-demand ones.
type Pool struct {
	Type, Zone string
	Spot       bool
}

// comparePools orders pools by type and zone, spot instances first.
func comparePools(a, b Pool) int {
	order := cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone))
	switch {
	case order != 0 || a.Spot == b.Spot:
		return order
	case a.Spot:
		return -1
	}
	return 1
}

// Provisioner plans and tracks the leader's rental requests. It is not safe for concurrent use.
type Provisioner struct {
	seq            uint64 // number of the newest request
	maxPending     int    // maximum number of requests without a final answer
	pending        map[string]*request
	exhaustedUntil map[Pool]Micros // by pool, until when nothing is requested for lack of capacity
}

// request is a rental request without a final answer.
type request struct {
	wire.RentalRequest
	seq      uint64
	sent     bool // it was sent at least once
	inFlight bool
	retryAt  Micros
}

func (r *request) pool() Pool { return Pool{r.Type, r.Zone, r.Spot} }

// NewProvisioner returns a Provisioner without requests, for a cloud that accepts rps requests a
// second.
func NewProvisioner(rps float64) *Provisioner {
	return &Provisioner{
		maxPending:     max(maxInFlight, int(rps*lookaheadSeconds)),
		pending:        map[string]*request{},
		exhaustedUntil: map[Pool]Micros{},
	}
}

// Enqueue adds requests for the machines that Plan returned. Their names contain the fencing token,
// so that no other leader ever uses the same names.
func (p *Provisioner) Enqueue(token uint64, rentals map[Pool]int) {
	for _, pool := range slices.SortedFunc(maps.Keys(rentals), comparePools) {
		for left := rentals[pool]; left > 0; left -= wire.MaxMachinesPerRental {
			p.seq++
			name := fmt.Sprintf("r-%d-%d", token, p.seq)
			p.pending[name] = &request{seq: p.seq, RentalRequest: wire.RentalRequest{
				Name:  name,
				Type:  pool.Type,
				Zone:  pool.Zone,
				Spot:  pool.Spot,
				Count: min(left, wire.MaxMachinesPerRental),
			}}
		}
	}
}

// Due returns the requests to send now, in the order in which they were enqueued, and marks them
// as in flight.
func (p *Provisioner) Due(now Micros) []wire.RentalRequest {
	inFlight := 0
	for _, r := range p.pending {
		if r.inFlight {
			inFlight++
		}
	}
	var due []wire.RentalRequest
	for _, r := range p.sorted() {
		if inFlight+len(due) >= maxInFlight {
			break
		}
		if !r.inFlight && r.retryAt <= now {
			r.inFlight = true
			r.sent = true
			due = append(due, r.RentalRequest)
		}
	}
	return due
}

// Complete removes a request that has received its final answer and returns it. It returns false if
// the request is not pending. rented is the number of machines that the cloud rented for it. If the
// pool has no more capacity, its requests that were never sent are dropped, so that the next plan can
// choose another pool. A request that was sent is kept: it may have been executed, and only sending
// it again under the same name shows whether it was.
func (p *Provisioner) Complete(now Micros, name string, rented int, noCapacity bool) (wire.RentalRequest, bool) {
	completed := p.pending[name]
	if completed == nil {
		return wire.RentalRequest{}, false
	}
	delete(p.pending, name)
	if noCapacity || rented < completed.Count {
		pool := completed.pool()
		p.exhaustedUntil[pool] = now + exhaustedBackoff
		maps.DeleteFunc(p.pending, func(_ string, r *request) bool { return !r.sent && r.pool() == pool })
	}
	return completed.RentalRequest, true
}

// Retry schedules a request without an answer to be sent again under the same name. If it was already
// executed, the cloud returns the same answer and rents no more machines.
func (p *Provisioner) Retry(now Micros, name string) {
	if r := p.pending[name]; r != nil {
		r.inFlight = false
		r.retryAt = now + requestRetryDelay
	}
}

// recentlyExhausted reports whether the cloud had no capacity in a pool within the last two
// backoff periods.
func (p *Provisioner) recentlyExhausted(now Micros, pool Pool) bool {
	return p.exhaustedUntil[pool] > now-exhaustedBackoff
}

// sorted returns the pending requests in the order in which they were enqueued.
func (p *Provisioner) sorted() []*request {
	return slices.SortedFunc(maps.Values(p.pending), func(a, b *request) int { return cmp.Compare(a.seq, b.seq) })
}
