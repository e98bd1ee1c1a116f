package leader

import (
	"coralhub/internal/core/accounting"
	"coralhub/internal/core/job"
)

// usage adds up what a job's tasks have used by the records and, if withUncommitted, by the proven ends of
// tasks that are not committed yet.
func (j *Job) usage(withUncommitted bool) *job.Usage {
	sum := j.Record.Usage
	for i := range j.Shards {
		sum = sum.Plus(j.Shards[i].Usage)
	}
	sum = sum.Plus(j.PageUsage())
	if !withUncommitted {
		return sum
	}
	for _, completed := range j.completions {
		p, open := j.Placement(completed.key.Task, completed.key.Attempt, completed.machine)
		if !open {
			continue
		}
		shard := job.Shard{Open: []job.Placement{p}}
		shard.Close(completed.key.Task, completed.key.Attempt, completed.machine, completed.occupancy)
		sum = sum.Plus(shard.Usage)
	}
	return sum
}

// accountUsage returns what a job has used by the records, and the account to which it is charged.
func (j *Job) accountUsage() (accounting.Key, job.ResourceUsage) {
	switch rec := &j.Record; {
	case rec.Account != nil:
		return accounting.Key{Team: rec.Account.Team, Class: rec.Account.Class, Service: rec.Account.Service}, rec.Account.Usage
	case rec.Spec != nil:
		return accounting.KeyOf(rec.Spec), job.ResourceUsageOf(rec.Spec, j.usage(false))
	}
	return accounting.Key{}, job.ResourceUsage{}
}
