package msg

// Outcome is the result of a call to another system.
type Outcome int

// Outcomes of calls.
const (
	OK       Outcome = iota
	Conflict         // not executed: a condition failed, or there is no capacity
	Gone             // not executed: the lease does not exist any more
	Refused          // certainly not executed; the same request may succeed later
	Invalid          // certainly not executed, and the same request never will be
	Unknown          // may have been executed, or may still be
)

// WritePriority is the priority of a transaction when the write rate of the key-value store is short.
type WritePriority int

// Write priorities.
const (
	Critical        WritePriority = iota // a response or the leadership depends on it
	Admission                            // the admission of a job
	Deferrable                           // gives way to the others
	WritePriorities                      // number of priorities
)
