package configuration

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
)

// retryPause is the wait before a call to the store is repeated.
const retryPause = 100 * time.Millisecond

// Commander carries out commands. Its fields are set before Submit.
type Commander struct {
	Store port.RecordStore
	// Now is the time of day, for the history.
	Now func() time.Time
}

// snapshot is the configuration as one command saw it.
type snapshot struct {
	configuration *doorstepv1.Configuration
	// revision is the record's, the condition of a change.
	revision int64
	// clock is the store's steady clock at the reading.
	clock time.Duration
}

// Submit carries a command out before the context ends: accepted, refused, or undecided
// when the store did not answer. Undecided becomes definite when the command is repeated
// with its token.
func (c *Commander) Submit(ctx context.Context, call port.OperatorCall) port.OperatorReply {
	reply := c.submit(ctx, call)
	reply.Token = call.Token
	return reply
}

func (c *Commander) submit(ctx context.Context, call port.OperatorCall) port.OperatorReply {
	for ; ctx.Err() == nil; pause(ctx) {
		recorded, ok := c.recorded(ctx, call.Token)
		if !ok {
			continue
		}
		if recorded != nil {
			return replyRecorded(recorded)
		}
		seen, ok := c.read(ctx)
		if !ok {
			continue
		}
		if call.Command.Kind == port.ShowStatus {
			// Absence is no proof: the command may still be on its way.
			return port.OperatorReply{Status: port.Undecided, Revision: seen.configuration.Revision,
				Reason: "nothing is recorded under this token; repeat the command with the token to decide it"}
		}
		reply, decided := c.try(ctx, call, seen)
		if decided {
			return reply
		}
	}
	return port.OperatorReply{Status: port.Undecided, Reason: "the store did not answer in time: ask again with the token"}
}

func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryPause):
	}
}

// try carries a command out on a snapshot; decided is false when its outcome is to be
// looked for.
func (c *Commander) try(ctx context.Context, call port.OperatorCall, seen snapshot) (reply port.OperatorReply, decided bool) {
	present := seen.configuration.Revision
	if call.IfRevision != 0 && call.IfRevision != present {
		return c.refuse(ctx, call, c.winner(ctx, present), present)
	}
	timed := *call.Command
	timed.Clock = seen.clock
	next, err := Apply(seen.configuration, &timed)
	if err != nil {
		return c.refuse(ctx, call, err.Error(), present)
	}
	if call.Explain {
		return Difference(seen.configuration, next), true
	}
	change := c.change(call)
	change.FromRevision, change.ToRevision = present, next.Revision
	result := c.Store.Commit(ctx, port.RecordTransaction{
		Preconditions: []port.Precondition{{RecordKey: Key(), Revision: seen.revision}, {RecordKey: tokenKey(call.Token)}},
		Puts: []port.Record{
			{RecordKey: Key(), Value: encode(next)},
			{RecordKey: tokenKey(call.Token), Value: encode(change)},
			{RecordKey: revisionKey(next.Revision), Value: encode(change)},
		},
	})
	// After a conflict or silence the token tells what became of the command; without
	// it, the command is tried on what stands then.
	return replyRecorded(change), result.Status == port.RecordDone
}

// refuse records the refusal under the command's token before it is told: an earlier try
// without an answer can no longer take effect then.
func (c *Commander) refuse(ctx context.Context, call port.OperatorCall, reason string, present uint64) (port.OperatorReply, bool) {
	change := c.change(call)
	change.ToRevision, change.Refused = present, reason
	if call.Explain {
		return replyRecorded(change), true
	}
	result := c.Store.Commit(ctx, port.RecordTransaction{
		Preconditions: []port.Precondition{{RecordKey: tokenKey(call.Token)}},
		Puts:          []port.Record{{RecordKey: tokenKey(call.Token), Value: encode(change)}},
	})
	return replyRecorded(change), result.Status == port.RecordDone
}

func (c *Commander) change(call port.OperatorCall) *doorstepv1.Change {
	return &doorstepv1.Change{Token: call.Token, Operator: call.Operator, Statement: call.Text, UnixMilliseconds: c.Now().UnixMilli()}
}

// winner tells who made the revision that a command did not expect.
func (c *Commander) winner(ctx context.Context, revision uint64) string {
	change, ok := c.find(ctx, revisionKey(revision))
	if !ok || change == nil {
		return fmt.Sprintf("the configuration is at revision %d already", revision)
	}
	return fmt.Sprintf("operator %q made revision %d first: %s", change.Operator, revision, change.Statement)
}

func replyRecorded(change *doorstepv1.Change) port.OperatorReply {
	if change.Refused != "" {
		return port.OperatorReply{Status: port.Refused, Reason: change.Refused, Revision: change.ToRevision}
	}
	return port.OperatorReply{Status: port.Accepted, Revision: change.ToRevision}
}

// recorded returns what is recorded under a token, nil for nothing; ok is false when the
// store did not answer.
func (c *Commander) recorded(ctx context.Context, token string) (change *doorstepv1.Change, ok bool) {
	return c.find(ctx, tokenKey(token))
}

func (c *Commander) find(ctx context.Context, key port.RecordKey) (change *doorstepv1.Change, ok bool) {
	record, ok := port.ReadRecord(ctx, c.Store, key)
	if !ok || record.Revision == 0 {
		return nil, ok
	}
	change = &doorstepv1.Change{}
	if err := proto.Unmarshal(record.Value, change); err != nil {
		return &doorstepv1.Change{Refused: "the recorded change can't be read: " + err.Error()}, true
	}
	return change, true
}

func (c *Commander) read(ctx context.Context) (snapshot, bool) {
	record, clock, ok := port.ReadRecordAt(ctx, c.Store, Key())
	if !ok {
		return snapshot{}, false
	}
	decoded, err := Decode(record)
	if err != nil {
		return snapshot{}, false
	}
	return snapshot{configuration: decoded, revision: record.Revision, clock: clock}, true
}

// Read returns the configuration as it stands in the store.
func (c *Commander) Read(ctx context.Context) (*doorstepv1.Configuration, bool) {
	seen, ok := c.read(ctx)
	return seen.configuration, ok
}
