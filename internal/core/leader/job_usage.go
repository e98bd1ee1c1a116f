package leader

import (
	"coralhub/internal/core/accounting"
	"coralhub/internal/core/job"
)

// usage sums up the usage of a job's tasks according to the records. If withUncommitted is set, it includes completions
// that are not committed yet.
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

// accountUsage returns the account to which a job is charged, and its usage according to the records. Both are zero if
// the record has neither a spec nor a usage account.
func (j *Job) accountUsage() (accounting.Key, job.ResourceUsage) {
	switch rec := &j.Record; {
	case rec.Account != nil:
		return accounting.Key{Team: rec.Account.Team, Class: rec.Account.Class, Service: rec.Account.Service},
			rec.Account.Usage
	case rec.Spec != nil:
		return accounting.KeyOf(rec.Spec), job.ResourceUsageOf(rec.Spec, j.usage(false))
	}
	return accounting.Key{}, job.ResourceUsage{}
}
