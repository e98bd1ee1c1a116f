package msg

// Outcome is the result of a call to another system.
type Outcome int

// Outcomes of calls.
const (
	OK       Outcome = iota
	Conflict         // not executed: a condition failed, or there is no capacity
	Gone             // not executed: the lease no longer exists
	Refused          // certainly not executed; the same request may succeed later
	Invalid          // certainly not executed; the same request can never succeed
	Unknown          // may have been executed, or may be executed later
)

// WritePriority is the priority of a transaction when the write rate of the state service is insufficient for all.
type WritePriority int

// Write priorities.
const (
	Critical        WritePriority = iota // not to be delayed: for instance, a response or the leadership depends on it
	Admission                            // the admission of a job
	Deferrable                           // yields to the other priorities
	WritePriorities                      // number of priorities
)
