package scale

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"coralhub/internal/wait"
)

// unfinishedPollInterval is how often is checked whether jobs are left.
const unfinishedPollInterval = 200 * time.Millisecond

// load is the load on a region: users who submit jobs and follow them, and faults of machines.
type load struct {
	users          *users
	stopSubmitting context.CancelFunc // ends submissions and faults
	stopFollowing  context.CancelFunc // ends the users of jobs that were submitted
	generators     sync.WaitGroup     // the goroutines that submit, inject faults and probe the controllers
	followed       sync.WaitGroup     // the users of submitted jobs, whom the generators add
}

// startLoad starts the load on a region. It lasts until it is ended, or ctx is.
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

// end ends the load and waits until nothing of it is left. It may be called again.
func (l *load) end() {
	l.stopSubmitting()
	l.stopFollowing()
	l.generators.Wait()
	l.followed.Wait()
	l.users.client.HTTP.CloseIdleConnections()
}

// measure generates load in a region and measures it.
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
	r.run.logf("%s: no more jobs come", r.name)
	l.users.waitUntilFinished(ctx, wait.Seconds(s.SettleS))
	l.end()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return r.result(l.users, &first, &last), nil
}

// waitUntilFinished waits until all accepted jobs have ended, up to a timeout.
func (u *users) waitUntilFinished(ctx context.Context, timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for u.unfinished() > 0 && time.Now().Before(deadline) {
		if !wait.For(ctx, unfinishedPollInterval) {
			return
		}
	}
}
