package leader

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"coralhub/internal/config"
	"coralhub/internal/core/accounting"
	"coralhub/internal/core/job"
	"coralhub/internal/core/queue"
	"coralhub/wire"
)

// usageAccounts TODO
type usageAccounts struct {
	*environment
	scheduler *scheduler

	ledger        accounting.Ledger
	usageLoggedAt Micros
}

// usageLogInterval is how often the log tells what teams have used.
const usageLogInterval = 60 * config.Second

// occupancyOf is the end of a task's stay on a machine, as it is charged.
func (jc *jobCommitter) occupancyOf(j *Job, key job.AttemptKey, machine string, kept bool) job.Occupancy {
	spec := j.Record.Spec
	if jc.encoding.Format < job.FormatPreemption || spec == nil {
		return job.Occupancy{}
	}
	s := job.Occupancy{End: job.EncodeTime(j.Record.CreatedAt, jc.wallClock())}
	if kept || spec.Shape == wire.Service {
		return s
	}
	if o, open := j.Placement(key.Task, key.Attempt, machine); open && o.PlacedAt > 0 {
		s.Lost = max(0, s.End-o.PlacedAt)
	}
	if spec.CheckpointS > 0 { // what came before the last checkpoint is safe
		s.Lost = min(s.Lost, int64(spec.CheckpointS*10))
	}
	return s
}

// usage is what a job's tasks have used, with what is proven to be over and not committed yet
// if closing.
func (j *Job) usage(closing bool) *job.Usage {
	sum := j.Record.Usage
	for i := range j.Shards {
		sum = sum.Plus(j.Shards[i].Usage)
	}
	sum = sum.Plus(j.PageUsage())
	if !closing {
		return sum
	}
	for _, cl := range j.completions {
		o, open := j.Placement(cl.key.Task, cl.key.Attempt, cl.machine)
		if !open {
			continue
		}
		q := job.Shard{Open: []job.Placement{o}}
		q.Close(cl.key.Task, cl.key.Attempt, cl.machine, cl.occupancy)
		sum = sum.Plus(q.Usage)
	}
	return sum
}

// accountUsage tells what the records say that a job has used, and whose use it is.
func (j *Job) accountUsage() (accounting.Key, job.ResourceUsage) {
	switch rec := &j.Record; {
	case rec.Account != nil:
		return accounting.Key{Team: rec.Account.Team, Class: rec.Account.Class, Service: rec.Account.Service}, rec.Account.Usage
	case rec.Spec != nil:
		return accounting.KeyOf(rec.Spec), job.ResourceUsageOf(rec.Spec, j.usage(false))
	}
	return accounting.Key{}, job.ResourceUsage{}
}

// chargeUsage brings the accounts up to what the records say of a job. Every node does.
func (ua *usageAccounts) chargeUsage(j *Job) {
	key, use := j.accountUsage()
	if use == j.charged && key == j.account || key == (accounting.Key{}) {
		return // a job that is over without an account, in a format before, keeps what was counted
	}
	ua.ledger.Add(j.account, job.ResourceUsage{}.Plus(j.charged, -1))
	ua.ledger.Add(key, use)
	j.account, j.charged = key, use
}

// restoreUsage has an heir's ranks go by what teams have used before it led, by the accounts: what
// is over, what runs, all decayed as if it had led all along. Sums depend on the order of ids.
func (ua *usageAccounts) restoreUsage(ids []string) {
	wall, window := ua.wallClock(), config.FromSeconds(ua.cfg.Settings.UsageWindowS)
	if wall == 0 || ua.encoding.Format < job.FormatPreemption {
		return
	}
	used := map[string]float64{}
	for _, id := range ids {
		j := ua.jobs[id]
		switch rec := &j.Record; {
		case rec.Account != nil:
			u := rec.Account.Usage
			charge := queue.Weigh(queue.Amount{CPUs: float64(u.CPU), GPUs: float64(u.GPU)})
			used[rec.Account.Team] += accounting.RecentUse(charge, wall-rec.Account.End*1e6, window)
		case rec.Spec != nil:
			amount := queue.Weigh(taskAmount(rec.Spec))
			if s := j.usage(false); s != nil {
				used[rec.Spec.Team] += accounting.RecentUse(amount*float64(s.Time), 0, window)
			}
			j.EachPlacement(func(p job.Placement) {
				if at := job.DecodeTime(rec.CreatedAt, p.PlacedAt); at != 0 {
					used[rec.Spec.Team] += accounting.RunningUse(amount, wall-at, window)
				}
			})
		}
	}
	for _, team := range slices.Sorted(maps.Keys(used)) {
		ua.scheduler.usage.Restore(ua.outbox.Now(), team, used[team])
	}
}

// logUsage writes once a minute what each team has used, and which part of all, beside its due.
func (ua *usageAccounts) logUsage() {
	if ua.outbox.Now()-ua.usageLoggedAt < usageLogInterval {
		return
	}
	ua.usageLoggedAt = ua.outbox.Now()
	byTeam := map[string]job.ResourceUsage{}
	ua.ledger.Each(func(k accounting.Key, u job.ResourceUsage) { byTeam[k.Team] = byTeam[k.Team].Plus(u, 1) })
	if len(byTeam) == 0 {
		return
	}
	shares := ua.scheduler.usage.Shares(nil)
	var out []string
	for _, team := range slices.SortedFunc(maps.Keys(byTeam), func(a, b string) int {
		return cmp.Or(cmp.Compare(byTeam[b].GPU, byTeam[a].GPU), cmp.Compare(a, b))
	}) {
		due := 1 / float64(max(len(ua.cfg.Cluster.Teams), 1))
		if w := ua.scheduler.weights[team]; w > 0 {
			due *= w
		}
		u := byTeam[team]
		out = append(out, fmt.Sprintf("%s=%d/%d/%d share=%.2f fair_share=%.2f", team, u.GPU/1e6, u.CPU/1e6, u.Lost/1e6, shares[team], due))
		if len(out) == maxClasses {
			break
		}
	}
	ua.outbox.Log("resource usage", "gpu_s/cpu_s/repeated_task_s", strings.Join(out, " "))
}

// usageLedger are what the records say that all have used, for who asks.
func (ua *usageAccounts) usageLedger() *accounting.Ledger { return &ua.ledger }

// auditAccounts adds the accounts up anew.
func (au *auditor) auditAccounts() error {
	var again accounting.Ledger
	for _, j := range au.jobs {
		key, use := j.accountUsage()
		if key == (accounting.Key{}) && j.charged != (job.ResourceUsage{}) {
			return nil // part of it is from a format before
		}
		again.Add(key, use)
	}
	if !again.Equal(&au.usageAccounts.ledger) {
		return fmt.Errorf("accounts differ from what the records add up to")
	}
	return nil
}
