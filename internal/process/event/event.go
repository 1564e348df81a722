// Package event defines the numbered log events. docs/EVENTS.md lists this catalogue, which a test
// checks.
package event

// Level is the severity of an event.
type Level int

const (
	// Debug is for tracing.
	Debug Level = iota
	// Info is for state changes.
	Info
	// Warn is for problems that the system recovers from by itself.
	Warn
	// Error is for problems that require an operator.
	Error
)

// Event numbers are never reused. Gaps belong to events of earlier versions.
const (
	ProcessStarted               = 100
	ProcessStopping              = 101
	ProcessStopped               = 102
	SettingsReloaded             = 103
	MachineResumed               = 104
	OperatorConfigurationApplied = 300
	RoutesApplied                = 310
	LeaseAcquired                = 400
	LeaseLost                    = 401
	LeaseReleased                = 402
	StepDelivered                = 500
	RequestAnswered              = 610
	RequestRefused               = 611
	AttemptEnded                 = 612
	ReplicaCrashed               = 613
	RequestQuarantined           = 614
	QuarantineTrial              = 615
	QuarantineLifted             = 616
	ReplicaLeaving               = 700
	ReplicasListed               = 709
	ReplicaAdded                 = 710
	ReplicaRemoved               = 711
	ReplicaEjected               = 712
	ReplicaRecordExpired         = 713
	VersionAnnounced             = 720
	VersionOrdered               = 721
	VersionLoaded                = 722
	ReportOfOtherIncarnation     = 723
	OrderProbed                  = 724
	ZoneEvacuated                = 730
	EvacuationLifted             = 731
	ReplicaCold                  = 740
	ReplicaWarm                  = 741
	ColdClaimed                  = 742
	ColdClaimDenied              = 743
	ColdWindowsDeleted           = 744
	JobLeavesRegion              = 750
	JobWithoutReplica            = 751
	StoreLost                    = 801
	StoreRecovered               = 802
	RecordUnreadable             = 803
	RecordNotEncoded             = 804
	StoreLatencyChanged          = 805
	NodesCounted                 = 806
	WatchSuspended               = 807
	JobAccepted                  = 900
	JobRefused                   = 901
	JobTakenOver                 = 902
	JobDropped                   = 903
	JobCompleted                 = 904
	JobEnded                     = 905
	JobAssigned                  = 906
	JobDeleted                   = 907
	JobAssignedNearer            = 908
	JobTakenOverAcrossRegions    = 909
	ItemRetried                  = 910
	ItemTerminated               = 911
	TextDiscarded                = 912
	TextAdopted                  = 914
	ItemCompleted                = 915
	JobRead                      = 916
	ScoringRetried               = 917
	ItemScored                   = 918
	ScoringWithoutRoute          = 919
	RunMoved                     = 920
	ItemsOverdue                 = 921
	TextNotSound                 = 922
	UsageAggregated              = 950
	UsageReported                = 951
	UsageLost                    = 952
	UsageClockSet                = 953
	ReplicasOrdered              = 960
	LogLinesDropped              = 990
)

// Entry describes one event.
type Entry struct {
	Number int
	Level  Level
	// Message is the logged text, Meaning its explanation for operators.
	Message string
	Meaning string
}

// Catalogue lists all events in ascending order of their numbers.
var Catalogue = []Entry{
	{ProcessStarted, Info, "process started", "The node process has started. It serves requests once it has loaded the configuration."},
	{ProcessStopping, Info, "planned stop begun", "The node accepts no new work. Running work is finished or handed over."},
	{ProcessStopped, Info, "planned stop complete", "All work is finished or handed over, and the process exits."},
	{SettingsReloaded, Info, "settings read again", "The settings file was reloaded on a signal. Changed settings that only take effect at a restart are listed."},
	{MachineResumed, Warn, "machine resumed", "The machine was suspended for the given time. Orders and platform calls that were in progress have been aborted."},
	{OperatorConfigurationApplied, Info, "operator configuration applied", "The node now uses this revision of experiments and drains."},
	{RoutesApplied, Info, "routes applied", "The node now uses this version of the route table."},
	{LeaseAcquired, Info, "lease acquired", "This node now holds the named lease, for version orders, usage reports or replica orders."},
	{LeaseLost, Warn, "lease lost", "The lease has expired or is held by another node."},
	{LeaseReleased, Info, "lease released", "This node released the lease during a planned handover."},
	{StepDelivered, Info, "step delivered", "This node delivered the samples of a trainer's step."},
	{RequestAnswered, Info, "request answered", "A replica's answer was delivered. The replica, the number of attempts and the duration are given."},
	{RequestRefused, Warn, "request not served", "The node answered the request itself with an error. The status and reason are given."},
	{AttemptEnded, Info, "attempt failed", "An attempt at a replica returned no answer that can be delivered."},
	{ReplicaCrashed, Warn, "replica crashed under a request", "A replica terminated while it was processing the request. fingerprint identifies the request on all nodes, crashes is the number of replicas that terminated while processing it."},
	{RequestQuarantined, Warn, "request quarantined", "The request has crashed the maximum number of replicas. No node sends it to a replica until a trial is due or the quarantine is lifted."},
	{QuarantineTrial, Warn, "quarantined request on trial", "This node sends a quarantined request to one replica to check whether it still crashes replicas."},
	{QuarantineLifted, Info, "quarantine lifted", "A replica answered the quarantined request or its records expired. The request is sent to replicas again."},
	{ReplicaLeaving, Info, "replica leaving", "The replica is draining and gets no new work."},
	{ReplicasListed, Info, "replicas listed", "A full or partial read of the replica list returned this many replicas, which are not logged individually. known is the number of replicas that this node now knows."},
	{ReplicaAdded, Info, "replica added", "The replica was added to the list and can get work."},
	{ReplicaRemoved, Info, "replica removed", "The replica was removed from the list."},
	{ReplicaEjected, Warn, "replica ejected", "The replica failed repeatedly and temporarily gets no work."},
	{ReplicaRecordExpired, Info, "replica record expired", "The replica's record expired while the record store was unavailable. The replica is kept unless its record is still missing two seconds after the store's return."},
	{VersionAnnounced, Info, "version named", "A trainer announced a new version of a model."},
	{VersionOrdered, Info, "version ordered", "The lease holder ordered a replica to load a version. status is the replica's answer."},
	{VersionLoaded, Info, "version loaded", "The replica reports that it has loaded the ordered version."},
	{ReportOfOtherIncarnation, Warn, "report of another incarnation", "The start times in the replica's report and in its record differ; both are given in Unix milliseconds. The report is not used as a basis for orders."},
	{OrderProbed, Info, "order path probed", "An order that changes nothing was sent before the first real order to a replica. status is the replica's answer. Without an answer the first order is delayed."},
	{ZoneEvacuated, Warn, "zone evacuated", "The platform requested the evacuation of a zone. Its replicas get no new work. The number of replicas and of this node's requests in flight there is given; those requests may be terminated."},
	{EvacuationLifted, Info, "evacuation lifted", "The replicas of the zone get work again. They may be cold."},
	{ReplicaCold, Info, "replica cold", "The replica's record reports it as cold, for how long, and whether it was warm before. It gets work only if no warm replica is eligible."},
	{ReplicaWarm, Info, "replica warm", "The replica is no longer cold according to its record."},
	{ColdClaimed, Info, "cold replica capacity claimed", "This node claimed requests from a cold replica's window. taken is the number claimed by all nodes, until_ms the end of the window by the store's clock."},
	{ColdClaimDenied, Info, "cold replica capacity not available", "No request to a cold replica could be claimed. wait_ms is the time until one may be available."},
	{ColdWindowsDeleted, Info, "cold replica windows deleted", "The windows of removed replicas were deleted from the store."},
	{JobLeavesRegion, Info, "batch job must leave the region", "A newer configuration excludes this node's region from the job's home regions. The job is handed over to a node in one of them."},
	{JobWithoutReplica, Warn, "batch job has no replica in its home regions", "The job's home regions have no replica. Its items wait for one until they may be abandoned."},
	{StoreLost, Warn, "record store lost", "A watch of the record store failed. The node continues with the records it has and reads the table again."},
	{StoreRecovered, Info, "record store regained", "A table of the record store was read completely and is being watched again."},
	{RecordUnreadable, Error, "record unreadable", "A record of the store cannot be decoded and is ignored."},
	{RecordNotEncoded, Error, "record not encoded", "A record with text that is not UTF-8 was not written. Other records are not affected. item, if given, is generated again before it is listed."},
	{StoreLatencyChanged, Info, "record store latency changed", "The node's estimate of the latency of record store calls has doubled or halved since it was last logged. Latencies below 50 ms are not logged."},
	{NodesCounted, Info, "nodes counted", "The number of nodes that recently announced themselves, as counted by the holder of the order lease. Takeovers are spread over time accordingly."},
	{WatchSuspended, Info, "watch suspended", "This node currently does not need a large table. It does not follow the table's changes and reads it again before use."},
	{JobAccepted, Info, "batch job accepted", "The job is stored in the record store and its acceptance was confirmed to the client."},
	{JobRefused, Warn, "batch job refused", "The job was not accepted. outcome tells whether it may nevertheless be in the store."},
	{JobTakenOver, Info, "batch job taken over", "This node now runs the job's items. The previous owner stopped responding or handed the job over."},
	{JobDropped, Info, "batch job dropped", "This node no longer runs the job's items. Its running items were cancelled."},
	{JobCompleted, Info, "batch job completed", "All items of the job have a position."},
	{JobEnded, Info, "batch job ended", "The client needs no more results of the job."},
	{JobAssigned, Info, "batch job assigned", "This node now runs the job's items. The node that accepted the job assigned it to the node that runs the model's other jobs."},
	{JobDeleted, Info, "batch job deleted", "The records of a finished job were deleted from the store. age_s is the time since its acceptance."},
	{JobAssignedNearer, Info, "batch job given to a nearer owner", "The latency of the record store is clearly higher for the default owner of the job than for this one."},
	{JobTakenOverAcrossRegions, Info, "batch job taken over across regions", "The previous owner was in another region. The locations and latencies of both owners are given."},
	{ItemRetried, Info, "item retried", "A run of the item did not complete. outcome, status and events give the reason and how much of the text is kept."},
	{ItemTerminated, Warn, "item terminated", "The item was abandoned. reason gives the cause."},
	{TextDiscarded, Info, "text discarded", "The item's text was generated by a version that its job does not allow and is generated again."},
	{TextAdopted, Info, "text adopted", "The item continues from the text stored by the previous owner of its job. events gives the length of that text."},
	{ItemCompleted, Info, "item completed", "The complete text of the item is available. runs, events and durations are given."},
	{JobRead, Info, "batch job read", "A client read results. from and results identify them, held_ms is how long the call waited for one."},
	{ScoringRetried, Info, "scoring call retried", "An attempt of the item's scoring call returned no score. outcome, status and failures give the reason."},
	{ItemScored, Info, "item scored", "The score of a complete text is available. The replica, attempts and durations are given."},
	{ScoringWithoutRoute, Warn, "scoring call has no route", "The current configuration has no route for the item's scoring call. The call waits for one until the item may be abandoned."},
	{RunMoved, Info, "run moved", "The item continues on a faster replica. reason gives the cause, pace_us and best_us the time per event on both replicas, left_ms the time until the results are due."},
	{ItemsOverdue, Warn, "items overdue", "Items of the job have been waiting for a replica for seconds. reason says why they are not running, count how many there are, waited_ms how long the first of them has been waiting. item_ids names up to eight of them."},
	{TextNotSound, Warn, "text not sound", "The item's text exceeded its limits, or another replica does not generate its last event. It is generated again from the start."},
	{UsageAggregated, Info, "usage gathered", "The counts of a window were added up and stored. stood tells that a previous holder had already stored a sum."},
	{UsageReported, Info, "usage reported", "The report of a window was sent to the platform. status is its answer, late tells that the report was overdue."},
	{UsageLost, Warn, "usage lost", "Counted requests will be missing from all reports. reason gives the cause."},
	{UsageClockSet, Info, "usage clock set", "The clock offset of the usage windows was derived from the nodes' wall clocks."},
	{ReplicasOrdered, Info, "replicas ordered", "Replicas of a service in a zone were requested from the platform. items are the batch items in progress, required_slots the slots that complete them in time. status is the platform's answer."},
	{LogLinesDropped, Warn, "log lines dropped", "Log lines were dropped because the log's buffer was full or its rate limit exceeded."},
}

// Find returns the entry of an event number.
func Find(number int) (Entry, bool) {
	for _, entry := range Catalogue {
		if entry.Number == number {
			return entry, true
		}
	}
	return Entry{}, false
}

// String returns the name of the level as used in log lines.
func (l Level) String() string { return [...]string{"debug", "info", "warn", "error"}[l] }
