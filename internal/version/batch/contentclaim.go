package batch

import (
	"bytes"
	"crypto/sha256"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

// contentClaim reserves a job ID for one content while its leading chunks are written, so that submissions of other content
// under the same ID can't replace or mix them. It is a record with the content's digest, whose revision each write of the
// submission requires. Submissions of the same content share it; one of other content replaces it, and the former ones
// fail.
type contentClaim struct {
	digest []byte
	// revision is that of the claim's record; 0 if it is absent.
	revision int64
	// held is set while the record is known to hold the digest.
	held bool
}

func newContentClaim(content []byte) *contentClaim {
	digest := sha256.Sum256(content)
	return &contentClaim{digest: digest[:]}
}

func contentClaimKey(job string) port.RecordKey {
	return port.RecordKey{Table: DataTable, Partition: Partition(job), Key: job + "/c"}
}

// update applies the claim's record from the answer to a transaction that failed. Chunks that were written before may
// have been replaced since, even if the record holds the same digest again.
func (c *contentClaim) update(job string, result port.RecordResult) {
	record := port.Record{}
	for _, found := range result.Records {
		if found.RecordKey == contentClaimKey(job) {
			record = found
		}
	}
	c.revision = record.Revision
	c.held = record.Revision > 0 && bytes.Equal(record.Value, c.digest)
}

// leadingTransaction returns the transaction that writes the next leading chunks.
func (s *submission) leadingTransaction() port.RecordTransaction {
	transaction := port.RecordTransaction{Preconditions: s.contentPreconditions(), Puts: s.leadingChunks[s.leadingWritten]}
	if !s.claim.held {
		claim := port.Record{RecordKey: contentClaimKey(s.job.Id), Value: s.claim.digest}
		transaction.Puts = append([]port.Record{claim}, transaction.Puts...)
	}
	return transaction
}

// contentPreconditions require that the job does not exist and that the claim, if there is one, is unchanged.
func (s *submission) contentPreconditions() []port.Precondition {
	preconditions := []port.Precondition{{RecordKey: headKey(s.job.Id)}}
	if s.claim != nil {
		preconditions = append(preconditions, port.Precondition{RecordKey: contentClaimKey(s.job.Id), Revision: s.claim.revision})
	}
	return preconditions
}

func (s *submission) onLeadingCommit(now time.Time, result port.RecordResult) {
	switch {
	case s.retries.finished:
	case result.Status == port.RecordDone:
		if !s.claim.held {
			s.claim.held, s.claim.revision = true, result.Revision
		}
		s.leadingWritten++
		s.submit(now)
	case result.Status == port.RecordConflict:
		s.onConflict(now, result)
	default:
		s.retry(now, false)
	}
}
