package scale

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"coralhub/internal/wait"
)

// unfinishedPollInterval is how often the number of unfinished jobs is checked.
const unfinishedPollInterval = 200 * time.Millisecond

// load is the load on a region: users that submit and poll jobs, and faults of machines.
type load struct {
	users          *users
	stopSubmitting context.CancelFunc // ends submissions and faults
	stopFollowing  context.CancelFunc // ends the polling of submitted jobs, and the readiness probes
	generators     sync.WaitGroup     // goroutines that submit, inject faults and probe the controllers
	followed       sync.WaitGroup     // goroutines that poll submitted jobs; added by the generators
}

// startLoad starts the load on a region. The caller must call end. The load also stops when ctx ends.
func (r *region) startLoad(ctx context.Context, seed uint64) *load {
	followCtx, stopFollowing := context.WithCancel(ctx)
	submitCtx, stopSubmitting := context.WithCancel(ctx)
	l := &load{users: newUsers(r), stopSubmitting: stopSubmitting, stopFollowing: stopFollowing}
	l.generators.Go(func() { l.users.probe(followCtx) })
	l.generators.Go(func() { r.injectFaults(submitCtx, rand.New(rand.NewPCG(seed, math.MaxUint32))) })
	for class := range r.settings.Classes {
		l.generators.Go(func() {
			rnd := rand.New(rand.NewPCG(seed, uint64(class)))
			l.users.submitUntil(submitCtx, followCtx, class, rnd, &l.followed)
		})
	}
	return l
}

// end stops the load and waits for its goroutines. It may be called more than once.
func (l *load) end() {
	l.stopSubmitting()
	l.stopFollowing()
	l.generators.Wait()
	l.followed.Wait()
	l.users.client.HTTP.CloseIdleConnections()
}

// measure generates load on a region and returns the measured result.
func (r *region) measure(ctx context.Context, seed uint64) (*RegionResult, error) {
	s := r.settings
	l := r.startLoad(ctx, seed)
	defer l.end()
	if !wait.For(ctx, wait.Seconds(s.RampS)) {
		return nil, ctx.Err()
	}
	first, err := r.sample(ctx)
	if err != nil {
		return nil, err
	}
	r.run.logf("%s: measuring", r.name)
	if !wait.For(ctx, wait.Seconds(s.DurationS)) {
		return nil, ctx.Err()
	}
	last, err := r.sample(ctx)
	if err != nil {
		return nil, err
	}
	l.stopSubmitting()
	r.run.logf("%s: all jobs submitted", r.name)
	l.users.waitUntilFinished(ctx, wait.Seconds(s.SettleS))
	l.end()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return r.result(l.users, &first, &last), nil
}

// waitUntilFinished waits until all accepted jobs have ended, the timeout has passed or ctx ends.
func (u *users) waitUntilFinished(ctx context.Context, timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for u.unfinished() > 0 && time.Now().Before(deadline) {
		if !wait.For(ctx, unfinishedPollInterval) {
			return
		}
	}
}
