package experiment

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
)

// Errors of prompt set operations.
var (
	// ErrPromptsExist is returned if the set exists with other prompts. Prompt sets are immutable,
	// because steps must remain reproducible.
	ErrPromptsExist = errors.New("a prompt set with this name already exists and has different prompts; choose another name")
	// ErrStoreUnavailable is returned if the store did not answer.
	ErrStoreUnavailable = errors.New("the store did not answer")
	// ErrPromptTooLong is returned if a prompt does not fit into a record.
	ErrPromptTooLong = fmt.Errorf("a prompt is longer than %d bytes", maxPartBytes)
)

func promptKey(set string, part int) port.RecordKey {
	return port.RecordKey{Table: PromptTable, Partition: set, Key: fmt.Sprintf("%06d", part)}
}

// PutPrompts stores a prompt set. It writes the first part last, so that a set with a first part is
// complete.
func PutPrompts(ctx context.Context, store port.RecordStore, set string, prompts []string) error {
	parts, err := splitPrompts(prompts)
	if err != nil {
		return err
	}
	stored, err := ReadPrompts(ctx, store, set)
	if err != nil {
		return err
	}
	if len(stored) > 0 && !slices.Equal(stored, prompts) {
		return ErrPromptsExist
	}
	for i := len(parts) - 1; i >= 0; i-- {
		value, err := proto.Marshal(parts[i])
		if err != nil {
			return err
		}
		key := promptKey(set, i)
		result := store.Commit(ctx, port.RecordTransaction{
			Preconditions: []port.Precondition{{RecordKey: key}}, Puts: []port.Record{{RecordKey: key, Value: value}},
		})
		if result.Status != port.RecordDone && result.Status != port.RecordConflict {
			return ErrStoreUnavailable
		}
	}
	stored, err = ReadPrompts(ctx, store, set)
	if err == nil && !slices.Equal(stored, prompts) {
		err = ErrPromptsExist
	}
	return err
}

func splitPrompts(prompts []string) ([]*doorstepv1.PromptSet, error) {
	parts := []*doorstepv1.PromptSet{{}}
	size := 0
	for _, prompt := range prompts {
		if len(prompt) > maxPartBytes/2 {
			return nil, ErrPromptTooLong
		}
		if size += len(prompt) + 8; size > maxPartBytes {
			parts, size = append(parts, &doorstepv1.PromptSet{}), len(prompt)+8
		}
		last := parts[len(parts)-1]
		last.Prompts = append(last.Prompts, prompt)
	}
	return parts, nil
}

// ReadPrompts returns the prompts of a set, or none if the set does not exist.
func ReadPrompts(ctx context.Context, store port.RecordStore, set string) ([]string, error) {
	var prompts []string
	query := port.RecordRange{Table: PromptTable, Partition: set}
	for {
		result := store.Range(ctx, query)
		if result.Status != port.RecordDone {
			return nil, ErrStoreUnavailable
		}
		if query.From == "" && len(result.Records) > 0 && result.Records[0].Key != promptKey(set, 0).Key {
			// The first part is written last, so the set is incomplete.
			return nil, nil
		}
		for _, record := range result.Records {
			part := &doorstepv1.PromptSet{}
			if err := proto.Unmarshal(record.Value, part); err != nil {
				return nil, err
			}
			prompts = append(prompts, part.Prompts...)
			query.From = record.Key + "\x00"
		}
		if !result.More {
			return prompts, nil
		}
	}
}
