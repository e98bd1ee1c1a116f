package msg

// AdminQuery names what an operator asks for.
type AdminQuery int

// Queries of operators.
const (
	QueryEstimates AdminQuery = iota
	QueryJob
	QueryRuns
	QueryAccounts // answered by every node
	QueryPreemptions
	QueryWaitReason
	QueryGauges // answered by every node
)
