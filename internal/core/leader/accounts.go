package leader

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"coralhub/internal/config"
	"coralhub/internal/core/accounts"
	"coralhub/internal/core/job"
	"coralhub/internal/core/queue"
	"coralhub/wire"
)

// useEvery is how often the log tells what teams have used.
const useEvery = 60 * config.Second

// stay is the end of a task's stay on a machine, as it is charged.
func (l *Leader) stay(j *Job, key job.Key, machine string, kept bool) job.Stay {
	spec := j.Rec.Spec
	if l.form.Format < job.Standing || spec == nil {
		return job.Stay{}
	}
	s := job.Stay{End: job.TimeOf(j.Rec.Created, l.wall())}
	if kept || spec.Shape == wire.Service {
		return s
	}
	if o, open := j.Placement(key.Task, key.Attempt, machine); open && o.At > 0 {
		s.Lost = max(0, s.End-o.At)
	}
	if spec.CheckpointS > 0 { // what came before the last checkpoint is safe
		s.Lost = min(s.Lost, int64(spec.CheckpointS*10))
	}
	return s
}

// spent is what a job's tasks have used, with what is proven to be over and not committed yet
// if closing.
func (j *Job) spent(closing bool) *job.Spent {
	sum := j.Rec.Spent
	for i := range j.Parts {
		sum = sum.Plus(j.Parts[i].Spent)
	}
	sum = sum.Plus(j.SharedSpent())
	if !closing {
		return sum
	}
	for _, cl := range j.closes {
		o, open := j.Placement(cl.key.Task, cl.key.Attempt, cl.machine)
		if !open {
			continue
		}
		q := job.Part{Open: []job.Placement{o}}
		q.Close(cl.key.Task, cl.key.Attempt, cl.machine, cl.stay)
		sum = sum.Plus(q.Spent)
	}
	return sum
}

// used tells what the records say that a job has used, and whose use it is.
func (j *Job) used() (accounts.Key, job.Use) {
	switch rec := &j.Rec; {
	case rec.Account != nil:
		return accounts.Key{Team: rec.Account.Team, Class: rec.Account.Class, Service: rec.Account.Service}, rec.Account.Use
	case rec.Spec != nil:
		return accounts.KeyOf(rec.Spec), job.UseOf(rec.Spec, j.spent(false))
	}
	return accounts.Key{}, job.Use{}
}

// charge brings the accounts up to what the records say of a job. Every node does.
func (l *Leader) charge(j *Job) {
	key, use := j.used()
	if use == j.charged && key == j.account || key == (accounts.Key{}) {
		return // a job that is over without an account, in a format before, keeps what was counted
	}
	l.accounts.Add(j.account, job.Use{}.Plus(j.charged, -1))
	l.accounts.Add(key, use)
	j.account, j.charged = key, use
}

// recallUse has an heir's ranks go by what teams have used before it led, by the accounts: what
// is over, what runs, all decayed as if it had led all along. Sums depend on the order of ids.
func (l *Leader) recallUse(ids []string) {
	wall, window := l.wall(), config.FromSeconds(l.cfg.Settings.UsageWindowS)
	if wall == 0 || l.form.Format < job.Standing {
		return
	}
	used := map[string]float64{}
	for _, id := range ids {
		j := l.jobs[id]
		switch rec := &j.Rec; {
		case rec.Account != nil:
			u := rec.Account.Use
			charge := queue.Weigh(queue.Amount{CPUs: float64(u.CPU), GPUs: float64(u.GPU)})
			used[rec.Account.Team] += accounts.Recent(charge, wall-rec.Account.End*1e6, window)
		case rec.Spec != nil:
			amount := queue.Weigh(taskAmount(rec.Spec))
			if s := j.spent(false); s != nil {
				used[rec.Spec.Team] += accounts.Recent(amount*float64(s.Time), 0, window)
			}
			j.EachOpen(func(p job.Placement) {
				if at := job.TimeAt(rec.Created, p.At); at != 0 {
					used[rec.Spec.Team] += accounts.Running(amount, wall-at, window)
				}
			})
		}
	}
	for _, team := range slices.Sorted(maps.Keys(used)) {
		l.usage.Recall(l.box.Now(), team, used[team])
	}
}

// tellUse writes once a minute what each team has used, and which part of all, beside its due.
func (l *Leader) tellUse() {
	if l.box.Now()-l.toldUseAt < useEvery {
		return
	}
	l.toldUseAt = l.box.Now()
	byTeam := map[string]job.Use{}
	l.accounts.Each(func(k accounts.Key, u job.Use) { byTeam[k.Team] = byTeam[k.Team].Plus(u, 1) })
	if len(byTeam) == 0 {
		return
	}
	shares := l.usage.Shares(nil)
	var out []string
	for _, team := range slices.SortedFunc(maps.Keys(byTeam), func(a, b string) int {
		return cmp.Or(cmp.Compare(byTeam[b].GPU, byTeam[a].GPU), cmp.Compare(a, b))
	}) {
		due := 1 / float64(max(len(l.cfg.Cluster.Teams), 1))
		if w := l.weights[team]; w > 0 {
			due *= w
		}
		u := byTeam[team]
		out = append(out, fmt.Sprintf("%s=%d/%d/%d had=%.2f due=%.2f", team, u.GPU/1e6, u.CPU/1e6, u.Lost/1e6, shares[team], due))
		if len(out) == maxClasses {
			break
		}
	}
	l.box.Log("accounts", "gpu_s/cpu_s/repeated_task_s", strings.Join(out, " "))
}

// Accounts are what the records say that all have used, for who asks.
func (l *Leader) Accounts() *accounts.Book { return &l.accounts }

// auditAccounts adds the accounts up anew.
func (l *Leader) auditAccounts() error {
	var again accounts.Book
	for _, j := range l.jobs {
		key, use := j.used()
		if key == (accounts.Key{}) && j.charged != (job.Use{}) {
			return nil // part of it is from a format before
		}
		again.Add(key, use)
	}
	if !again.Equal(&l.accounts) {
		return fmt.Errorf("accounts differ from what the records add up to")
	}
	return nil
}
