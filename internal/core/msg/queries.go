package msg

// AdminQuery is the kind of an operator's query.
type AdminQuery int

// Kinds of operators' queries.
const (
	QueryEstimates AdminQuery = iota
	QueryJob
	QueryRuns
	QueryAccounts // answered by every node
	QueryPreemptions
	QueryWaitReason
	QueryGauges // answered by every node
)
