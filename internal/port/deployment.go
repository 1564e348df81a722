package port

import (
	"fmt"
	"math"
	"time"
)

// RouteKind determines how requests of a route may be handled.
type RouteKind string

const (
	// RouteIdempotent allows a request to run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteNonIdempotent allows a request to run at most once.
	RouteNonIdempotent RouteKind = "non-idempotent"
	// RouteStreaming responds with a stream of events.
	RouteStreaming RouteKind = "streaming"
	// RouteBatch accepts batch jobs.
	RouteBatch RouteKind = "batch"
)

// Backend is a service that receives part of a route's traffic.
type Backend struct {
	Service string
	// Weight is the service's share, relative to the sum of the route's weights.
	Weight float64
}

// Route maps requests for a host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RouteKind
	// Timeout bounds how long a request may take.
	Timeout time.Duration
	// Objective is the operators' target response time. No wait or refusal follows from it.
	Objective time.Duration
	// Backends has at least one entry.
	Backends []Backend
	// MaxAttempts bounds the number of replicas that a request is sent to.
	MaxAttempts int
	// Resumable allows a stream to continue at another replica.
	Resumable bool
	// SingleVersion requires that one weight version generates the whole result.
	SingleVersion bool
	// MaxQueue is the age at which an item of a batch job may be abandoned.
	MaxQueue time.Duration
	// ResultDeadline is the age at which a batch job's results are due.
	ResultDeadline time.Duration
	// Priority is the rank of the route's requests at a replica, from 0 (first) to MaxPriority. Requests of a
	// lower rank are admitted before those of a higher one.
	Priority int
	// AllowAnonymous admits callers without a key even if there are tenants.
	AllowAnonymous bool
	// AllowedRegions are the regions in which requests may be served and stored; empty
	// for any region.
	AllowedRegions []string
}

const (
	// DefaultPriority is the rank of requests without one.
	DefaultPriority = 5
	// MaxPriority is the last rank.
	MaxPriority = 9
)

// Service is a set of interchangeable replicas.
type Service struct {
	Name string
	// ConnectionLimit bounds the connections from all nodes to one replica.
	ConnectionLimit int
	// Models are the models that its replicas serve.
	Models []string
	// EventTokens is the number of tokens in one stream event; 0 if unknown.
	EventTokens int
	// MemoryTokens is the number of prompt and completion tokens that fit in a replica's memory;
	// 0 if unknown.
	MemoryTokens int
	// Scaling bounds how many replicas may be ordered; nil if the service does not scale.
	Scaling *Scaling
	// ColdStart limits the load on newly started replicas; nil if they need no warm-up.
	ColdStart *ColdStart
}

// ColdStart limits the request rate of a replica that is warming up.
type ColdStart struct {
	// Duration is the length of the warm-up after a replica's start.
	Duration time.Duration
	// PerSecond is the request rate, from all nodes together, that a cold replica can handle.
	PerSecond float64
}

// Scaling bounds the number of replicas of a service.
type Scaling struct {
	// Min and Max bound the total number of replicas in each zone.
	Min, Max int
	// StartupTime is how long a new replica takes until it serves requests.
	StartupTime time.Duration
	// Prices are the relative costs of a replica in each zone where the service may run.
	Prices map[string]float64
}

// IngressLimits bound client requests.
type IngressLimits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the reading of a request's headers, IdleTimeout the time between
	// two requests on a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// RouteTable is one complete version of the routing configuration.
type RouteTable struct {
	// Version increases with every change.
	Version  int64
	Routes   []Route
	Services []Service
	Limits   IngressLimits
	// Tenants are the parties whose callers are served; if empty, keys are not checked.
	Tenants []Tenant
}

// ReplicaRecord is a replica's record in the store, which the replica writes.
type ReplicaRecord struct {
	// ID names the replica. A replica may keep its ID across restarts: ID and StartedAt together
	// identify an incarnation.
	ID string
	// StartedAt is when the incarnation started by the replica's own clock, in whole milliseconds; zero if
	// the replica does not report it.
	StartedAt time.Time
	Service   string
	Address   string
	Zone      string
	Slots     int
	// Draining replicas get no new work.
	Draining bool
	// ColdFor is the remaining warm-up time as of when the record was written.
	ColdFor time.Duration
	// Versions are the loaded weight versions, by model.
	Versions map[string]int64
	// Revision is the record's revision, by which stale and repeated reads are detected.
	Revision int64
}

// Incarnation identifies one run of a replica, from start to exit.
func (r *ReplicaRecord) Incarnation() string {
	if r.StartedAt.IsZero() {
		return r.ID
	}
	return fmt.Sprintf("%s@%d", r.ID, r.StartedAt.UnixMilli())
}

// RemovedReplica is a replica whose record was deleted or became unusable at a revision of the store.
type RemovedReplica struct {
	ID       string
	Revision int64
}

// UnreadableRecord is a record that was skipped because a field is missing or has the wrong type.
type UnreadableRecord struct {
	Key      string
	Revision int64
	Reason   string
}

// Evacuation is a request to send no work to a zone's replicas, or its withdrawal.
type Evacuation struct {
	Zone   string
	Lifted bool
}

// VersionTarget is the newest version published for a model.
type VersionTarget struct {
	Model   string
	Version int64
}

// DeploymentUpdate is a change to the deployment as described in the platform's store. Nil fields did
// not change.
type DeploymentUpdate struct {
	Routes *RouteTable
	// Replicas were added or changed. Removed no longer have a usable record.
	Replicas []ReplicaRecord
	Removed  []RemovedReplica
	Targets  []VersionTarget
	// Unreadable are records that were skipped.
	Unreadable []UnreadableRecord
	// Evacuations are zones whose evacuation was requested or lifted.
	Evacuations []Evacuation
}

// VersionOrder orders a replica to load a version of a model.
type VersionOrder struct {
	// Replica and Address identify the recipient.
	Replica, Address string
	Model            string
	Version          int64
	// Holder and Fence identify the lease under which the order is sent.
	Holder string
	Fence  int64
	// ExpectedSequence is the number of orders that the replica must have accepted, or ProbeSequence.
	ExpectedSequence int64
}

// ProbeSequence is a sequence that no replica reaches. An order that expects it changes nothing, and its
// response shows that the replica answers orders.
const ProbeSequence = math.MaxInt32

// IsProbe reports whether the order is a probe, which no replica accepts.
func (o *VersionOrder) IsProbe() bool { return o.ExpectedSequence == ProbeSequence }

// VersionOrderStatus is the outcome of a VersionOrder.
type VersionOrderStatus int

const (
	// VersionOrderUnknown means that there was no response: the order may still be executed.
	VersionOrderUnknown VersionOrderStatus = iota
	// VersionOrderAccepted means that the replica is loading the version.
	VersionOrderAccepted
	// VersionOrderAlreadyLoaded means that the replica already has the version.
	VersionOrderAlreadyLoaded
	// VersionOrderConflict means that another order is in progress or was accepted.
	VersionOrderConflict
	// VersionOrderFenced means that a newer lease holder has sent orders.
	VersionOrderFenced
	// VersionOrderRefused means that the order was for another replica or was rejected.
	VersionOrderRefused
)

// ReplicaReport is the state that a replica reports on request.
type ReplicaReport struct {
	OK bool
	// StartedAt is the start of the incarnation that responded, as in ReplicaRecord.
	StartedAt time.Time
	// Loading reports that an order is in progress.
	Loading bool
	// Sequence is the number of orders accepted since the start.
	Sequence int64
	Versions map[string]int64
	Running  int
	Queued   int
}
