package msg

// Purpose says what a transaction is for. It is counted, and decides nothing: how a
// transaction is paced is its Turn.
type Purpose int

// The purposes of transactions.
const (
	ForOther     Purpose = iota // formats, machine types
	ForClaim                    // a claim is made or its token raised
	ForAccept                   // a job is accepted
	ForMark                     // a job is marked as to be cancelled, or settled as cancelled
	ForPlacement                // tasks are placed
	ForClosing                  // placements are closed in a job's record, and the job goes on
	ForJobEnd                   // a job becomes done or cancelled
	ForEndedPage                // attempts that have ended go into their log
	ForCleanup                  // what is out of date is deleted
	ForDecision                 // work is set aside for other work
	ForHint                     // machines' addresses and images are kept for later leaders
	ForMail                     // reports are passed on by way of the state service
	ForLearnt                   // learnt run times are kept
	ForConfirm                  // a copy is held against the records, nothing is changed
	Purposes                    // how many there are
)

var purposeNames = [Purposes]string{
	ForOther: "other", ForClaim: "claim", ForAccept: "accept", ForMark: "mark", ForPlacement: "placement",
	ForClosing: "closing", ForJobEnd: "job_end", ForEndedPage: "ended_page", ForCleanup: "cleanup",
	ForDecision: "decision", ForHint: "hint", ForMail: "mail", ForLearnt: "learnt", ForConfirm: "confirm",
}

// String is the purpose's name in logs and metrics.
func (p Purpose) String() string {
	if p < 0 || p >= Purposes {
		return "unknown"
	}
	return purposeNames[p]
}
