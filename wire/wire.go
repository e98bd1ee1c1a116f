// Package wire holds the messages that coralhub exchanges with users,
// workers, the cloud and the state service: their field names, paths, limits
// and the checks that a message must pass. The odd words of the wire live
// here and nowhere else; Go names use the usual terms of the field.
package wire

import (
	"bytes"
	"fmt"
	"math"

	"github.com/vmihailenco/msgpack/v5"
)

// Paths and limits of the protocol.
const (
	PathJobs      = "/v1/jobs"
	PathHeartbeat = "/v1/report"
	PathReady     = "/ready"
	PathCommands  = "/commands"
	PathStatus    = "/status"
	PathCatalog   = "/catalog"
	PathHosts     = "/hosts"
	PathRelease   = "/hosts/release"
	PathStore     = "/store"
	PathCommit    = "/commit"
	PathLeases    = "/leases"
	PathChanges   = "/changes"

	CancelVerb = "withdraw"
	ExtendVerb = "extend"

	ContentType         = "application/msgpack"
	MaxBody             = 64 << 10
	MaxRental           = 50
	MaxRelease          = 100
	MaxList             = 500
	MaxRows             = 1000
	MaxTasks            = 100000
	ConditionsPerChange = 4
)

// Shapes of jobs.
const (
	Array   = "sweep"
	Gang    = "group"
	Service = "service"
)

// Priorities, highest first.
const (
	Production = "critical"
	High       = "high"
	Normal     = "standard"
	Low        = "idle"
)

// States that users see.
const (
	Queued    = "queued"
	Running   = "running"
	Done      = "done"
	Cancelled = "cancelled"
)

// States of a task on its machine; Running is shared with users.
const (
	Fetching = "fetching"
	Waiting  = "gathering"
	Saving   = "flushing"
	Exited   = "exited"
)

// Causes of an exit; Done is shared with users.
const (
	CauseStopped    = "stopped"
	CausePeersGone  = "mates_gone"
	CauseIncomplete = "incomplete"
	CauseError      = "error"
	CauseNoCapacity = "full"
	CauseBusy       = "busy"
	CauseUnknown    = "unknown"
)

// Commands to workers.
const (
	CommandStart  = "launch"
	CommandStop   = "kill"
	CommandForget = "reap"
)

// States of a rented machine; Running is shared with users.
const (
	MachineBooting = "booting"
	MachineFailed  = "failed"
)

// Job is a submission.
type Job struct {
	ID          string   `msgpack:"ref"`
	Class       string   `msgpack:"docket"`
	Team        string   `msgpack:"desk"`
	Shape       string   `msgpack:"shape"`
	Priority    string   `msgpack:"rank"`
	Tasks       int      `msgpack:"lots"`
	CPUs        float64  `msgpack:"cores"`
	GPUs        float64  `msgpack:"gpus"`
	MemoryGB    float64  `msgpack:"ram_gb"`
	Image       string   `msgpack:"build"`
	ImageGB     float64  `msgpack:"pull_gb"`
	Types       []string `msgpack:"rigs,omitempty"`
	Zone        string   `msgpack:"yard,omitempty"`
	OneZone     bool     `msgpack:"one_zone"`
	Spread      bool     `msgpack:"spread"`
	Spot        bool     `msgpack:"loaners"`
	EstimateS   float64  `msgpack:"expect_s"`
	CheckpointS float64  `msgpack:"bookmark_s"`
	SaveS       float64  `msgpack:"stash_s"`
	DeadlineS   *float64 `msgpack:"due_s,omitempty"`
	Needs       []string `msgpack:"awaits,omitempty"` // jobs that have to be done before any task of this one starts
}

// ShapeName is what a shape is called outside of the wire.
func ShapeName(shape string) string {
	switch shape {
	case Array:
		return "array"
	case Gang:
		return "gang"
	case Service:
		return "service"
	}
	return shape
}

// ParseShape is the shape of a name that ShapeName gives; false if there is none.
func ParseShape(name string) (string, bool) {
	for _, shape := range []string{Array, Gang, Service} {
		if ShapeName(shape) == name {
			return shape, true
		}
	}
	return "", false
}

// ParsePriority is the priority of a usual name: production, high, normal or low; false if there is none.
func ParsePriority(name string) (string, bool) {
	priority, ok := map[string]string{"production": Production, "high": High, "normal": Normal, "low": Low}[name]
	return priority, ok
}

// JobStatus answers submissions, polls and cancellations.
type JobStatus struct {
	ID      string `msgpack:"ref"`
	Status  string `msgpack:"status"`
	Done    *int   `msgpack:"done,omitempty"`
	Running *int   `msgpack:"running,omitempty"`
}

// NoSuchLease is the state service's error for a write under a lease that has
// ended; any other 400 means that the request itself is at fault.
const NoSuchLease = "no such lease"

// Error is the body of a refusal.
type Error struct {
	Error string `msgpack:"error"`
}

// TaskStatus is one task in a worker's report.
type TaskStatus struct {
	Task    string `msgpack:"lot"`
	Attempt uint64 `msgpack:"try"`
	State   string `msgpack:"status"`
	Cause   string `msgpack:"cause"`
	Saved   bool   `msgpack:"kept"`
}

// Heartbeat is what a worker says about itself.
type Heartbeat struct {
	Machine      string       `msgpack:"berth"`
	Addr         string       `msgpack:"addr"`
	Type         string       `msgpack:"rig"`
	Zone         string       `msgpack:"yard"`
	Spot         bool         `msgpack:"loaners"`
	Incarnation  uint64       `msgpack:"shift"`
	Sequence     uint64       `msgpack:"tally"`
	FencingToken uint64       `msgpack:"baton"`
	NoticeS      *float64     `msgpack:"recall_s"`
	Tasks        []TaskStatus `msgpack:"lots"`
}

// Command is one command to a worker.
type Command struct {
	Verb    string   `msgpack:"verb"`
	Task    string   `msgpack:"lot"`
	Attempt uint64   `msgpack:"try"`
	GraceS  *float64 `msgpack:"wind_down_s,omitempty"`
}

// HeartbeatResponse is the 200 to a report.
type HeartbeatResponse struct {
	FencingToken uint64    `msgpack:"baton"`
	Commands     []Command `msgpack:"orders"`
}

// Redirect is the 421 to a report.
type Redirect struct {
	Node string `msgpack:"answer_to,omitempty"`
}

// CommandRequest is a direct call to a worker.
type CommandRequest struct {
	FencingToken uint64    `msgpack:"baton"`
	Incarnation  uint64    `msgpack:"shift"`
	Commands     []Command `msgpack:"orders"`
}

// MachineType is an entry of the catalog.
type MachineType struct {
	Name      string   `msgpack:"label"`
	CPUs      float64  `msgpack:"cores"`
	GPUs      float64  `msgpack:"gpus"`
	MemoryGB  float64  `msgpack:"ram_gb"`
	CacheGB   float64  `msgpack:"cache_gb"`
	FetchGBs  float64  `msgpack:"pull_gb_per_s"`
	Price     float64  `msgpack:"price"`
	SpotPrice float64  `msgpack:"spot_price"`
	BootS     float64  `msgpack:"startup_s"`
	Zones     []string `msgpack:"yards"`
}

// Catalog lists the machine types.
type Catalog struct {
	Types []MachineType `msgpack:"rigs"`
}

// RentalRequest asks the cloud for machines.
type RentalRequest struct {
	Name  string `msgpack:"hire"`
	Type  string `msgpack:"rig"`
	Zone  string `msgpack:"yard"`
	Spot  bool   `msgpack:"loaners"`
	Count int    `msgpack:"how_many"`
}

// MachineNames is the answer to Rent and the body of a release.
type MachineNames struct {
	Machines []string `msgpack:"berths"`
}

// Machine is an entry of the cloud's list.
type Machine struct {
	Name  string  `msgpack:"ref"`
	Addr  string  `msgpack:"addr"`
	Type  string  `msgpack:"rig"`
	Zone  string  `msgpack:"yard"`
	Spot  bool    `msgpack:"loaners"`
	State string  `msgpack:"status"`
	AgeS  float64 `msgpack:"held_s"`
}

// MachineList is one page of the cloud's list.
type MachineList struct {
	Machines []Machine `msgpack:"berths"`
	More     bool      `msgpack:"has_next"`
}

// KeyValue is a key of the state service.
type KeyValue struct {
	Key     string             `msgpack:"k"`
	Value   msgpack.RawMessage `msgpack:"data"`
	Version uint64             `msgpack:"stamp"`
	Lease   uint64             `msgpack:"tenancy"`
}

// KeyValuePage is a page of keys; with no key found it tells the revision alone.
type KeyValuePage struct {
	Items    []KeyValue `msgpack:"rows"`
	More     bool       `msgpack:"has_next"`
	Revision uint64     `msgpack:"ledger_rev"`
}

// Condition is a condition of a transaction; version 0 means the key is absent.
type Condition struct {
	Key     string `msgpack:"k"`
	Version uint64 `msgpack:"stamp"`
}

// Change is a put or a delete of a transaction, or one that a watch tells of.
type Change struct {
	Put     string             `msgpack:"write,omitempty"`
	Delete  string             `msgpack:"delete,omitempty"`
	Value   msgpack.RawMessage `msgpack:"data,omitempty"`
	Lease   uint64             `msgpack:"tenancy,omitempty"`
	Version uint64             `msgpack:"stamp,omitempty"`
}

// Transaction is a transaction.
type Transaction struct {
	Conditions []Condition `msgpack:"guards"`
	Changes    []Change    `msgpack:"apply,omitempty"`
}

// TransactionResult tells how a transaction went.
type TransactionResult struct {
	Revision uint64   `msgpack:"ledger_rev"`
	Failed   []string `msgpack:"failed"`
	Error    string   `msgpack:"error,omitempty"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLms int64 `msgpack:"ttl_ms"`
}

// LeaseGrant names a lease.
type LeaseGrant struct {
	Lease uint64 `msgpack:"tenancy"`
}

// WatchResponse is the answer to a watch.
type WatchResponse struct {
	Revision uint64   `msgpack:"ledger_rev"`
	Events   []Change `msgpack:"news"`
}

// Marshal encodes a message.
func Marshal(v any) ([]byte, error) { return msgpack.Marshal(v) }

// Unmarshal checks and decodes a message; unknown fields are ignored.
func Unmarshal(b []byte, v any) error {
	if err := Check(b); err != nil {
		return err
	}
	return msgpack.Unmarshal(b, v)
}

// JSONSize bounds from above the size of an encoded message in the form that
// limits are counted in, without building that form.
func JSONSize(b []byte) int {
	if Check(b) != nil {
		return math.MaxInt32
	}
	d := msgpack.NewDecoder(bytes.NewReader(b))
	v, err := d.DecodeInterface()
	if err != nil {
		return math.MaxInt32
	}
	return jsonSize(v)
}

func jsonSize(v any) int {
	switch x := v.(type) {
	case nil:
		return 4
	case bool:
		return 5
	case string:
		n := 2
		for _, c := range []byte(x) {
			if c < 0x20 || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
				n += 6
			} else {
				n++
			}
		}
		return n
	case []any:
		n := 2
		for _, e := range x {
			n += jsonSize(e) + 1
		}
		return n
	case map[string]any:
		n := 2
		for k, e := range x {
			n += jsonSize(k) + jsonSize(e) + 2
		}
		return n
	case int8, int16, int32, int64, uint8, uint16, uint32, uint64:
		return len(fmt.Sprint(x))
	default:
		return 24
	}
}
