package batch

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/doorstep/doorstep/internal/port"
)

const (
	// sequenceBits is the size of the sequence in an ownership's number, below the beat.
	sequenceBits = 28
	// ownershipDigits is the number of hexadecimal digits of an ownership in a key: 32 bits of the beat, and the sequence.
	// Builds that name texts by the incarnation use 16 digits.
	ownershipDigits = 15
)

// ownership identifies one period in which a node owns a job, among all ownerships of that job.
type ownership struct {
	// number increases from one ownership to the next. With unordered, it is the incarnation of an owner whose build
	// names texts by that alone.
	number    uint64
	unordered bool
}

// newOwnership returns the ownership that begins with a head record. Each change of owner increases the record's beat; the
// sequence distinguishes ownerships that one node begins with the same record.
func newOwnership(beat, sequence uint64) ownership {
	return ownership{number: beat<<sequenceBits | sequence%(1<<sequenceBits)}
}

// after reports whether the ownership is known to have begun after another.
func (o ownership) after(other ownership) bool {
	return !o.unordered && !other.unordered && o.number > other.number
}

// checkpointPrefix identifies a text of an item: all parts under one prefix belong to the same text, even if writes take
// effect late.
type checkpointPrefix struct {
	index int
	ownership
	// generation counts how often the owner discarded the item's text.
	generation int
}

// key returns the key of a part of the text. Builds that name texts by the incarnation read the ownership as one, which
// keeps the texts apart for them too.
func (p checkpointPrefix) key(job string, part int) port.RecordKey {
	return port.RecordKey{Table: DataTable, Partition: Partition(job), Key: fmt.Sprintf("%s%04d/%0*x-%02d/%03d",
		checkpointKeys(job), p.index, ownershipDigits, p.number, p.generation, part)}
}

// checkpointKeys returns what all checkpoint keys of a job begin with.
func checkpointKeys(job string) string { return job + "/t/" }

// parseCheckpointPrefix returns the prefix of a job's checkpoint key; ok is false if the key is malformed.
func parseCheckpointPrefix(job, key string) (prefix checkpointPrefix, ok bool) {
	fields := strings.Split(strings.TrimPrefix(key, checkpointKeys(job)), "/")
	if len(fields) != 3 {
		return prefix, false
	}
	owner, generation, _ := strings.Cut(fields[1], "-")
	var errs [3]error
	prefix.index, errs[0] = strconv.Atoi(fields[0])
	prefix.number, errs[1] = strconv.ParseUint(owner, 16, 64)
	prefix.generation, errs[2] = strconv.Atoi(generation)
	prefix.unordered = len(owner) != ownershipDigits
	return prefix, errs == [3]error{}
}

// after reports whether the text is known to have begun after another text of the same item.
func (p checkpointPrefix) after(other checkpointPrefix) bool {
	if p.ownership == other.ownership {
		return p.generation > other.generation
	}
	return p.ownership.after(other.ownership)
}
