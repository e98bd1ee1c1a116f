package msg

// Purpose says what a transaction is for. It is counted, and decides nothing: how a
// transaction is paced is its Turn.
type Purpose int

// The purposes of transactions.
const (
	PurposeOther         Purpose = iota // formats, machine types
	PurposeElection                     // a claim is made or its token raised
	PurposeAdmission                    // a job is accepted
	PurposeCancellation                 // a job is marked as to be cancelled, or settled as cancelled
	PurposePlacement                    // tasks are placed
	PurposeCompletion                   // placements are closed in a job's record, and the job goes on
	PurposeJobEnd                       // a job becomes done or cancelled
	PurposeCompletionLog                // attempts that have ended go into their log
	PurposeCleanup                      // what is out of date is deleted
	PurposePreemption                   // work is set aside for other work
	PurposeMachineCache                 // machines' addresses and images are kept for later leaders
	PurposeRelay                        // reports are passed on by way of the state service
	PurposeEstimates                    // learnt run times are kept
	PurposeReadCheck                    // a copy is held against the records, nothing is changed
	Purposes                            // how many there are
)

var purposeNames = [Purposes]string{
	PurposeOther: "other", PurposeElection: "claim", PurposeAdmission: "accept", PurposeCancellation: "mark", PurposePlacement: "placement",
	PurposeCompletion: "closing", PurposeJobEnd: "job_end", PurposeCompletionLog: "ended_page", PurposeCleanup: "cleanup",
	PurposePreemption: "decision", PurposeMachineCache: "hint", PurposeRelay: "mail", PurposeEstimates: "learnt", PurposeReadCheck: "confirm",
}

// String is the purpose's name in logs and metrics.
func (p Purpose) String() string {
	if p < 0 || p >= Purposes {
		return "unknown"
	}
	return purposeNames[p]
}
