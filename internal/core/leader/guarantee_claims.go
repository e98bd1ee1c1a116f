package leader

import (
	"slices"

	"coralhub/internal/core/queue"
)

// mayClaimGuarantee reports whether a job that has not started, of a class that is short of
// capacity, fits into its team's guarantee in addition to what the team uses and has claimed.
func (so *startOrder) mayClaimGuarantee(j *Job, used map[string]queue.Amount) bool {
	if so.outbox.Now() < j.preemptingUntil {
		return true // its claim is counted already
	}
	spec := j.Record.Spec
	team := so.teams[spec.Team]
	if !queue.HasGuarantee(team) {
		return true
	}
	sum := used[spec.Team].Plus(so.claimedGuarantee[spec.Team], 1).Plus(startAmount(spec), 1)
	return queue.WithinGuarantee(team, sum)
}

// addClaim adds what a job needs to start to its team's claims of the current cycle. The job waits
// for its victims to end; until it is placed, nothing else records that its team has claimed this.
func (so *startOrder) addClaim(j *Job) {
	spec := j.Record.Spec
	so.claimedGuarantee[spec.Team] = so.claimedGuarantee[spec.Team].Plus(startAmount(spec), 1)
}

// sumClaims adds up the claims at the beginning of a cycle.
func (so *startOrder) sumClaims(claiming []*Job) {
	clear(so.claimedGuarantee)
	slices.SortFunc(claiming, compareByID) // floating-point sums depend on the order
	for _, j := range claiming {
		so.addClaim(j)
	}
}
