package configuration

import (
	"context"
	"fmt"
	"time"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
)

// retryDelay is the delay before a call to the store is repeated.
const retryDelay = 100 * time.Millisecond

// Executor executes operator commands. Its fields must be set before use.
type Executor struct {
	Store port.RecordStore
	// Now returns the current time for the history.
	Now func() time.Time
}

// snapshot is the configuration at the time a command read it.
type snapshot struct {
	configuration *doorstepv1.Configuration
	// revision is the record's revision, which a change is conditional on.
	revision int64
	// clock is the store's monotonic clock at the time of the read.
	clock time.Duration
}

// Submit executes a command. The reply is Accepted, Refused, or Undecided if the store did not
// answer before the context ended. To resolve an undecided command, repeat it with its token.
func (c *Executor) Submit(ctx context.Context, call port.OperatorCall) port.OperatorReply {
	if !utf8.ValidString(call.Operator) || !utf8.ValidString(call.Token) || !utf8.ValidString(call.Text) {
		return port.OperatorReply{Status: port.Refused, Reason: "the operator, the token or the text is not UTF-8"}
	}
	reply := c.submit(ctx, call)
	reply.Token = call.Token
	return reply
}

func (c *Executor) submit(ctx context.Context, call port.OperatorCall) port.OperatorReply {
	for ; ctx.Err() == nil; waitRetry(ctx) {
		change, ok := c.recordedChange(ctx, call.Token)
		if !ok {
			continue
		}
		if change != nil {
			return replyTo(change)
		}
		current, ok := c.readSnapshot(ctx)
		if !ok {
			continue
		}
		if call.Command.Kind == port.ShowStatus {
			// The command may still be in flight, so its absence is not conclusive.
			return port.OperatorReply{Status: port.Undecided, Revision: current.configuration.Revision,
				Reason: "nothing is recorded under this token; repeat the command with the token to decide it"}
		}
		reply, decided := c.attempt(ctx, call, current)
		if decided {
			return reply
		}
	}
	return port.OperatorReply{Status: port.Undecided, Reason: "the store did not answer in time: ask again with the token"}
}

func waitRetry(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryDelay):
	}
}

// attempt executes a command on a snapshot. If decided is false, the caller must look up the
// outcome by the command's token.
func (c *Executor) attempt(ctx context.Context, call port.OperatorCall, current snapshot) (reply port.OperatorReply, decided bool) {
	revision := current.configuration.Revision
	if call.IfRevision != 0 && call.IfRevision != revision {
		return c.recordRefusal(ctx, call, c.conflictReason(ctx, revision), revision)
	}
	timed := *call.Command
	timed.Clock = current.clock
	next, err := Apply(current.configuration, &timed)
	if err != nil {
		return c.recordRefusal(ctx, call, err.Error(), revision)
	}
	if call.Explain {
		return Diff(current.configuration, next), true
	}
	change := c.newChange(call)
	change.FromRevision, change.ToRevision = revision, next.Revision
	result := c.Store.Commit(ctx, port.RecordTransaction{
		Preconditions: []port.Precondition{{RecordKey: Key(), Revision: current.revision}, {RecordKey: tokenKey(call.Token)}},
		Puts: []port.Record{
			{RecordKey: Key(), Value: encode(next)},
			{RecordKey: tokenKey(call.Token), Value: encode(change)},
			{RecordKey: revisionKey(next.Revision), Value: encode(change)},
		},
	})
	// After a conflict or a lost answer, the record of the token shows the outcome. Without one,
	// the command is attempted on the new configuration.
	return replyTo(change), result.Status == port.RecordDone
}

// recordRefusal records a refusal under the command's token before it is returned, so that an
// earlier unanswered attempt can no longer succeed.
func (c *Executor) recordRefusal(ctx context.Context, call port.OperatorCall, reason string, revision uint64) (port.OperatorReply, bool) {
	change := c.newChange(call)
	change.ToRevision, change.Refused = revision, reason
	if call.Explain {
		return replyTo(change), true
	}
	result := c.Store.Commit(ctx, port.RecordTransaction{
		Preconditions: []port.Precondition{{RecordKey: tokenKey(call.Token)}},
		Puts:          []port.Record{{RecordKey: tokenKey(call.Token), Value: encode(change)}},
	})
	return replyTo(change), result.Status == port.RecordDone
}

func (c *Executor) newChange(call port.OperatorCall) *doorstepv1.Change {
	return &doorstepv1.Change{Token: call.Token, Operator: call.Operator, Statement: call.Text, UnixMilliseconds: c.Now().UnixMilli()}
}

// conflictReason returns a description of the change that created an unexpected revision.
func (c *Executor) conflictReason(ctx context.Context, revision uint64) string {
	change, ok := c.readChange(ctx, revisionKey(revision))
	if !ok || change == nil {
		return fmt.Sprintf("the configuration is at revision %d already", revision)
	}
	return fmt.Sprintf("operator %q made revision %d first: %s", change.Operator, revision, change.Statement)
}

func replyTo(change *doorstepv1.Change) port.OperatorReply {
	if change.Refused != "" {
		return port.OperatorReply{Status: port.Refused, Reason: change.Refused, Revision: change.ToRevision}
	}
	return port.OperatorReply{Status: port.Accepted, Revision: change.ToRevision}
}

// recordedChange returns the change recorded under a token, or nil if there is none. ok is false if
// the store did not answer.
func (c *Executor) recordedChange(ctx context.Context, token string) (change *doorstepv1.Change, ok bool) {
	return c.readChange(ctx, tokenKey(token))
}

func (c *Executor) readChange(ctx context.Context, key port.RecordKey) (change *doorstepv1.Change, ok bool) {
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

func (c *Executor) readSnapshot(ctx context.Context) (snapshot, bool) {
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

// Read returns the stored configuration.
func (c *Executor) Read(ctx context.Context) (*doorstepv1.Configuration, bool) {
	current, ok := c.readSnapshot(ctx)
	return current.configuration, ok
}
