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
)

// usageLogInterval is the time between two "resource usage" log lines.
const usageLogInterval = 60 * config.Second

// usageAccounts sums up the resource usage of jobs, by team and class, from the records. It runs on every node.
type usageAccounts struct {
	*environment
	scheduler *scheduler

	ledger        accounting.Ledger
	usageLoggedAt Micros
}

// chargeUsage charges a job's usage since it was last charged, according to its record.
func (ua *usageAccounts) chargeUsage(j *Job) {
	key, use := j.accountUsage()
	if use == j.charged && key == j.account || key == (accounting.Key{}) {
		return // a job that ended under an earlier storage format has no account, and its earlier charges remain
	}
	ua.ledger.Add(j.account, job.ResourceUsage{}.Plus(j.charged, -1))
	ua.ledger.Add(key, use)
	j.account = key
	j.charged = use
}

// restoreUsage gives a new leader the average usage of the teams before its term. It sums up the accounts of finished
// and running tasks, decayed as if this node had been the leader all the time. The order of the IDs affects the
// rounding of the sums.
func (ua *usageAccounts) restoreUsage(ids []string) {
	wall := ua.wallClock()
	if wall == 0 || ua.encoding.Format < job.FormatPreemption {
		return
	}
	window := config.FromSeconds(ua.cfg.Settings.UsageWindowS)
	used := map[string]float64{}
	for _, id := range ids {
		j := ua.jobs[id]
		switch rec := &j.Record; {
		case rec.Account != nil:
			total := rec.Account.Usage
			charge := queue.GPUEquivalents(float64(total.CPU), float64(total.GPU))
			used[rec.Account.Team] += accounting.RecentUse(charge, wall-rec.Account.End*config.Second, window)
		case rec.Spec != nil:
			weight := queue.GPUEquivalents(rec.Spec.CPUs, rec.Spec.GPUs)
			if ended := j.usage(false); ended != nil {
				used[rec.Spec.Team] += accounting.RecentUse(weight*float64(ended.Time), 0, window)
			}
			j.EachPlacement(func(p job.Placement) {
				if placedAt := job.DecodeTime(rec.CreatedAt, p.PlacedAt); placedAt != 0 {
					used[rec.Spec.Team] += accounting.RunningUse(weight, wall-placedAt, window)
				}
			})
		}
	}
	for _, team := range slices.Sorted(maps.Keys(used)) {
		ua.scheduler.usage.Restore(ua.outbox.Now(), team, used[team])
	}
}

// logUsage logs, once per usageLogInterval, the usage of each team, its recent share of the total usage and its fair
// share.
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
	teams := slices.SortedFunc(maps.Keys(byTeam), func(a, b string) int {
		return cmp.Or(cmp.Compare(byTeam[b].GPU, byTeam[a].GPU), cmp.Compare(a, b))
	})
	shares := ua.scheduler.usage.Shares(nil)
	var out []string
	for _, team := range teams[:min(len(teams), maxClasses)] {
		u := byTeam[team]
		out = append(out, fmt.Sprintf("%s=%d/%d/%d share=%.2f fair_share=%.2f", team,
			u.GPU/config.Second, u.CPU/config.Second, u.Lost/config.Second, shares[team], ua.fairShare(team)))
	}
	ua.outbox.Log("resource usage", "gpu_s/cpu_s/repeated_task_s", strings.Join(out, " "))
}

// fairShare returns the fraction of the total usage, 0 to 1, that a team is entitled to.
func (ua *usageAccounts) fairShare(team string) float64 {
	share := 1 / float64(max(len(ua.cfg.Cluster.Teams), 1))
	if w := ua.scheduler.weights[team]; w > 0 {
		share *= w
	}
	return share
}

func (ua *usageAccounts) usageLedger() *accounting.Ledger { return &ua.ledger }
