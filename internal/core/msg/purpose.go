package msg

// Purpose classifies a transaction in logs and metrics. It does not affect how the transaction is
// paced, which its WritePriority determines.
type Purpose int

// Purposes of transactions.
const (
	PurposeOther         Purpose = iota // stores a format or the machine types
	PurposeElection                     // creates the leader key, or replaces the fencing token
	PurposeAdmission                    // admits a job
	PurposeCancellation                 // records that a job is to be cancelled, or is cancelled
	PurposePlacement                    // places tasks
	PurposeCompletion                   // closes placements in the record of a job that has not ended
	PurposeJobEnd                       // records that a job is done or cancelled
	PurposeCompletionLog                // adds ended attempts to the completion log
	PurposeCleanup                      // deletes outdated keys
	PurposePreemption                   // commits a preemption decision
	PurposeMachineCache                 // stores machines' addresses and images for later leaders
	PurposeRelay                        // relays heartbeats through the state service
	PurposeEstimates                    // stores estimates of run times
	PurposeReadCheck                    // verifies that the replica is current; changes nothing
	Purposes                            // number of purposes
)

// purposeNames are label values of metrics, which dashboards depend on.
var purposeNames = [Purposes]string{
	PurposeOther:         "other",
	PurposeElection:      "claim",
	PurposeAdmission:     "accept",
	PurposeCancellation:  "mark",
	PurposePlacement:     "placement",
	PurposeCompletion:    "closing",
	PurposeJobEnd:        "job_end",
	PurposeCompletionLog: "ended_page",
	PurposeCleanup:       "cleanup",
	PurposePreemption:    "decision",
	PurposeMachineCache:  "hint",
	PurposeRelay:         "mail",
	PurposeEstimates:     "learnt",
	PurposeReadCheck:     "confirm",
}

// String returns the purpose's name in logs and metrics.
func (p Purpose) String() string {
	if p < 0 || p >= Purposes {
		return "unknown"
	}
	return purposeNames[p]
}
