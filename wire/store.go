package wire

import "github.com/vmihailenco/msgpack/v5"

// NoSuchLease is the state service's error for a write under an expired lease. With any other error, status 400 means
// that the request itself is invalid.
const NoSuchLease = "no such lease"

// KeyValue is a key of the state service with its value. Version is the revision of its last change.
type KeyValue struct {
	Key     string             `msgpack:"k"`
	Value   msgpack.RawMessage `msgpack:"data"`
	Version uint64             `msgpack:"stamp"`
	Lease   uint64             `msgpack:"tenancy"`
}

// KeyValuePage is a page of keys, in ascending order. If there are no keys, only the revision is set.
type KeyValuePage struct {
	Items    []KeyValue `msgpack:"rows"`
	More     bool       `msgpack:"has_next"`
	Revision uint64     `msgpack:"ledger_rev"`
}

// Condition makes a transaction fail unless the key has the given version. Version 0 requires that the key doesn't
// exist.
type Condition struct {
	Key     string `msgpack:"k"`
	Version uint64 `msgpack:"stamp"`
}

// Change is a put or a delete, in a transaction or in the response to a watch.
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
	Revision   uint64   `msgpack:"ledger_rev"`
	FailedKeys []string `msgpack:"failed"`
	Error      string   `msgpack:"error,omitempty"`
}

// LeaseRequest requests a lease.
type LeaseRequest struct {
	TTLms int64 `msgpack:"ttl_ms"`
}

// LeaseGrant is the response to a LeaseRequest.
type LeaseGrant struct {
	Lease uint64 `msgpack:"tenancy"`
}

// WatchResponse is the response to a watch: all changes after the requested revision, in the order of their revisions.
type WatchResponse struct {
	Revision uint64   `msgpack:"ledger_rev"`
	Events   []Change `msgpack:"news"`
}
