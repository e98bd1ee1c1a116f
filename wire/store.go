package wire

import "github.com/vmihailenco/msgpack/v5"

// NoSuchLease is the state service's error for a write under an expired lease. Any other 400 means that the request
// itself is at fault.
const NoSuchLease = "no such lease"

// KeyValue is a key of the state service with its value. Version is the revision of its last change.
type KeyValue struct {
	Key     string             `msgpack:"k"`
	Value   msgpack.RawMessage `msgpack:"data"`
	Version uint64             `msgpack:"stamp"`
	Lease   uint64             `msgpack:"tenancy"`
}

// KeyValuePage is a page of keys in their order. Without any key it has the revision alone.
type KeyValuePage struct {
	Items    []KeyValue `msgpack:"rows"`
	More     bool       `msgpack:"has_next"`
	Revision uint64     `msgpack:"ledger_rev"`
}

// Condition has a transaction fail unless a key has a version; 0: the key does not exist.
type Condition struct {
	Key     string `msgpack:"k"`
	Version uint64 `msgpack:"stamp"`
}

// Change is a put or a delete, of a transaction or in the response to a watch.
type Change struct {
	Put     string             `msgpack:"write,omitempty"`
	Delete  string             `msgpack:"delete,omitempty"`
	Value   msgpack.RawMessage `msgpack:"data,omitempty"`
	Lease   uint64             `msgpack:"tenancy,omitempty"`
	Version uint64             `msgpack:"stamp,omitempty"`
}

// Transaction is a compare-and-swap: its changes are applied, all at one revision, if all its conditions hold.
type Transaction struct {
	Conditions []Condition `msgpack:"guards"`
	Changes    []Change    `msgpack:"apply,omitempty"`
}

// TransactionResult is the response to a transaction: the revision, or the keys whose conditions failed.
type TransactionResult struct {
	Revision uint64   `msgpack:"ledger_rev"`
	Failed   []string `msgpack:"failed"`
	Error    string   `msgpack:"error,omitempty"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLms int64 `msgpack:"ttl_ms"`
}

// LeaseGrant is the response to a LeaseRequest.
type LeaseGrant struct {
	Lease uint64 `msgpack:"tenancy"`
}

// WatchResponse is the response to a watch: all changes after a revision, in their order.
type WatchResponse struct {
	Revision uint64   `msgpack:"ledger_rev"`
	Events   []Change `msgpack:"news"`
}
