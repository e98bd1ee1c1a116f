package reconciler

import (
	"coralhub/internal/config"
	"coralhub/internal/core/zone"
)

// A fencing token is a revision of the state service. The revision of a leader's election is the lowest token of its
// term. Any later revision at which the leader key is known to be unchanged is a token of the same term as well: it is
// above every token of earlier leaders, and below the revision at which a later leader can be elected. So the leader
// raises the token of a single worker without writing anything.

// settleInterval is the time for which the replica has held a revision before it is used as a token, so that relays
// have most likely received it as well and recognize the token.
const settleInterval = config.Second / 2

// settledRevision is a revision that the replica has held for at least settleInterval, 0 if there is none in this term.
type settledRevision struct {
	settled   uint64
	sampled   uint64 // the next settled revision
	sampledAt Micros
}

// SettleRevision updates the settled revision. It is called periodically.
func (r *Reconciler) SettleRevision() {
	if r.outbox.Now()-r.sampledAt < settleInterval {
		return
	}
	r.settled = r.sampled
	r.sampled = r.replica.Revision()
	r.sampledAt = r.outbox.Now()
}

// token returns the fencing token of messages to a worker. It never decreases in a term.
func (r *Reconciler) token(m *zone.Machine) uint64 {
	return max(m.RaisedToken, r.elector.FencingToken())
}

// HighestToken returns an upper bound of the tokens that this leader has used.
func (r *Reconciler) HighestToken() uint64 { return r.elector.HighestToken(r.replica.Revision()) }

// OfLaterLeader reports whether a token that a worker has received is known to be of a leader that was elected after
// this one.
func (r *Reconciler) OfLaterLeader(token uint64) bool {
	return token > r.HighestToken() && !r.elector.TokenChangePending()
}

// raiseTokenForExited raises the token of messages to a worker if copies of earlier calls keep attempts that have
// exited from being forgotten. It does nothing while a call is in flight, which the worker would reject after that.
func (r *Reconciler) raiseTokenForExited(m *zone.Machine) {
	highest := m.TokenOfExitedStarts()
	if highest < r.token(m) || m.CallInFlight || r.settled <= highest {
		return
	}
	r.outbox.Debug("fencing token of a worker raised", "machine", m.Name, "previous", r.token(m), "fencing_token", r.settled,
		"reason", "a copy of a start of an exited attempt may arrive")
	m.RaisedToken = r.settled
	r.tokensRaised++
}

// TokensRaised returns how often this process has raised the token of a single worker.
func (r *Reconciler) TokensRaised() int { return r.tokensRaised }
