package port

import (
	"fmt"
	"math"
	"time"
)

// RouteKind says what may be done with a request of a route.
type RouteKind string

const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteNonIdempotent requests run at most once.
	RouteNonIdempotent RouteKind = "non-idempotent"
	// RouteStreaming requests are answered by a series of events.
	RouteStreaming RouteKind = "streaming"
	// RouteBatch takes batch jobs.
	RouteBatch RouteKind = "batch"
)

// Backend is one part of a route's traffic.
type Backend struct {
	Service string
	// Weight is the part's share, relative to the sum of all weights.
	Weight float64
}

// Route says where requests of a host and path prefix go.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RouteKind
	// Timeout is the longest that a request may be held.
	Timeout time.Duration
	// Objective is the time within which an answer is of full worth.
	Objective time.Duration
	// Backends has at least one entry.
	Backends []Backend
	// MaxAttempts bounds the replicas that one request may be sent to.
	MaxAttempts int
	// Resumable streams may be continued at another replica.
	Resumable bool
	// SingleVersion demands that one version makes a whole result.
	SingleVersion bool
	// MaxQueue is the age at which an item of a batch job may be given up.
	MaxQueue time.Duration
	// ResultDeadline is the age at which a batch job's results are due.
	ResultDeadline time.Duration
	// AllowAnonymous takes callers without a key also where there are tenants.
	AllowAnonymous bool
	// AllowedRegions are the only regions in which its requests may be served and kept; empty
	// for any.
	AllowedRegions []string
}

// Service is a set of replicas that serve alike.
type Service struct {
	Name string
	// ConnectionLimit bounds the connections to one replica, of all nodes together.
	ConnectionLimit int
	// Models are those that its replicas hold.
	Models []string
	// EventTokens is how many tokens one event of a stream carries, 0 if that is not told.
	EventTokens int
	// MemoryTokens is how many tokens, of prompts and of texts, a replica has memory for; 0 if
	// that is not told.
	MemoryTokens int
	// Scaling says how many replicas may be ordered, nil where none can be.
	Scaling *Scaling
	// Cold bounds what its replicas bear after a start, nil where they bear all at once.
	Cold *ColdStart
}

// ColdStart bounds what a cold replica bears: well above the rate it falls over.
type ColdStart struct {
	// Lasts is how long a replica is cold after its start.
	Lasts time.Duration
	// PerSecond is the rate of requests that it bears meanwhile, of all nodes together.
	PerSecond float64
}

// Scaling bounds the replicas of a service that can be ordered.
type Scaling struct {
	// Min and Max bound the replicas of each zone, of both kinds together.
	Min, Max int
	// Boot is how long a new replica takes to serve.
	Boot time.Duration
	// Prices are what a replica costs in each zone where the service may run, relative to the
	// other zones.
	Prices map[string]float64
}

// IngressLimits bound what a client may send.
type IngressLimits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the reading of a head, IdleTimeout the time between
	// two requests of a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// RouteTable is one version of the operators' configuration, whole.
type RouteTable struct {
	// Version rises with every change.
	Version  int64
	Routes   []Route
	Services []Service
	Limits   IngressLimits
	// Tenants, if there are any, are the parties whose callers are served.
	Tenants []Tenant
}

// ReplicaRecord is what a replica says of itself in the store.
type ReplicaRecord struct {
	// ID names the replica. One that starts again may keep it: ID and StartedAt together name an
	// incarnation.
	ID string
	// StartedAt is when the incarnation started by the replica's own clock, to the millisecond; zero
	// where replicas don't tell.
	StartedAt time.Time
	Service   string
	Address   string
	Zone      string
	Slots     int
	// Draining replicas get no new work.
	Draining bool
	// ColdFor is how much longer the replica is cold, as of when it wrote the record.
	ColdFor time.Duration
	// Versions are the weights it holds, by model.
	Versions map[string]int64
	// Revision is that of the record, so that one that is read again is not taken for news, nor one
	// that is read late for a newer one.
	Revision int64
}

// Incarnation names one life of a replica.
func (r *ReplicaRecord) Incarnation() string {
	if r.StartedAt.IsZero() {
		return r.ID
	}
	return fmt.Sprintf("%s@%d", r.ID, r.StartedAt.UnixMilli())
}

// GoneReplica is a replica whose record was deleted, or can't be used, as of a revision of the store.
type GoneReplica struct {
	ID       string
	Revision int64
}

// UnreadableRecord is a record that was left out of a change, as something in it is missing or not of
// its type.
type UnreadableRecord struct {
	Key      string
	Revision int64
	Reason   string
}

// Evacuation says that a zone's replicas are to get nothing, until it is lifted.
type Evacuation struct {
	Zone   string
	Lifted bool
}

// VersionTarget is the newest version that was named for a model.
type VersionTarget struct {
	Model   string
	Version int64
}

// Deployment is a change of what the platform's store says of its surroundings.
// Fields that are nil did not change.
type Deployment struct {
	Routes *RouteTable
	// Replicas are new or changed, Gone are those without a record that can be used.
	Replicas []ReplicaRecord
	Gone     []GoneReplica
	Targets  []VersionTarget
	// Unreadable are records that were left out.
	Unreadable []UnreadableRecord
	// Evacuations are zones whose evacuation was asked for or lifted.
	Evacuations []Evacuation
}

// OrderVersion asks a replica to load a version of a model.
type OrderVersion struct {
	// Replica and Address say to whom.
	Replica, Address string
	Model            string
	Version          int64
	// Holder and Fence are the order lease's.
	Holder string
	Fence  int64
	// ExpectedSequence is the count of orders that the replica must have taken, or ProbeSequence.
	ExpectedSequence int64
}

// ProbeSequence is a count that no replica comes by: an order that expects it changes nothing, whenever it is
// carried out. Its answer shows that the replica answers orders.
const ProbeSequence = math.MaxInt32

// Probe reports whether the order can't be taken by any replica.
func (o *OrderVersion) Probe() bool { return o.ExpectedSequence == ProbeSequence }

// VersionOrderStatus is the outcome of an OrderVersion.
type VersionOrderStatus int

const (
	// VersionOrderUnknown means that no answer came: it may be carried out later.
	VersionOrderUnknown VersionOrderStatus = iota
	// VersionOrderAccepted means that the load is under way.
	VersionOrderAccepted
	// VersionOrderHeld means that the replica has that version already.
	VersionOrderHeld
	// VersionOrderConflict means that another order is under way or was taken.
	VersionOrderConflict
	// VersionOrderFenced means that a newer holder has given orders.
	VersionOrderFenced
	// VersionOrderRefused means that the replica is another one or refuses.
	VersionOrderRefused
)

// ReplicaReport is what a replica says of itself when asked.
type ReplicaReport struct {
	OK bool
	// StartedAt is the start of the incarnation that answered, as in ReplicaRecord.
	StartedAt time.Time
	// Loading says that an order is under way.
	Loading bool
	// Sequence counts the orders taken in this life.
	Sequence int64
	Versions map[string]int64
	Running  int
	Queued   int
}
