package agent

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"testing"
)

// zeros is a body without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// TestBodiesWithoutEndAreRefused guards against a truncated body that is taken for the whole one.
func TestBodiesWithoutEndAreRefused(t *testing.T) {
	budget := &byteBudget{left: maxBufferedBytes}
	buffers := &responseBuffers{budget: budget}
	if content, err := buffers.readAll(zeros{}); !errors.Is(err, errResponseTooLarge) || content != nil {
		t.Errorf("%d bytes, error %v", len(content), err)
	}
	if content, err := buffers.readAll(io.LimitReader(zeros{}, maxResponseBytes)); err != nil || len(content) != maxResponseBytes {
		t.Errorf("%d bytes of the largest body, error %v", len(content), err)
	}
	buffers.end()
	if budget.left != maxBufferedBytes {
		t.Errorf("%d of %d bytes are left after the end", budget.left, maxBufferedBytes)
	}
}

// TestManyBodiesWithoutEnd guards against memory that grows with the number of responses that are read at once.
func TestManyBodiesWithoutEnd(t *testing.T) {
	const limit = 1 << 20
	budget := &byteBudget{left: limit}
	var requests sync.WaitGroup
	for range 32 {
		requests.Go(func() {
			buffers := &responseBuffers{budget: budget}
			defer buffers.end()
			if content, err := buffers.readAll(zeros{}); !errors.Is(err, errBuffersFull) || content != nil {
				t.Errorf("%d bytes, error %v", len(content), err)
			}
		})
	}
	requests.Wait()
	if budget.left != limit {
		t.Errorf("%d of %d bytes are left", budget.left, limit)
	}
}

// TestSmallBodiesBesideLargeOnes guards against large responses that leave no memory for the small ones of other requests,
// and that together take more memory than the machine has.
func TestSmallBodiesBesideLargeOnes(t *testing.T) {
	for _, memoryMb := range []int{0, 88, 314, 4096} {
		budget := newByteBudget(memoryMb)
		total := budget.left
		if memoryMb > 0 && total > memoryMb*megabyte/3 {
			t.Errorf("%d MB of memory: %d bytes are buffered", memoryMb, total)
		}
		var held []*responseBuffers
		for range 64 {
			large := &responseBuffers{budget: budget}
			if large.take(2<<20, 2<<20) {
				held = append(held, large)
			}
		}
		if len(held) == 0 || len(held) == 64 {
			t.Fatalf("%d MB of memory: %d large responses are buffered", memoryMb, len(held))
		}
		small := &responseBuffers{budget: budget}
		if _, err := small.readAll(io.LimitReader(zeros{}, smallResponseBytes-1)); err != nil {
			t.Errorf("%d MB of memory: a small response beside large ones: %v", memoryMb, err)
		}
		small.end()
		for _, large := range held {
			large.end()
		}
		if budget.left != total {
			t.Errorf("%d of %d bytes are left", budget.left, total)
		}
	}
}

// TestBrokenAndLateBodies guards against memory that is not returned.
func TestBrokenAndLateBodies(t *testing.T) {
	budget := &byteBudget{left: 1 << 20}
	buffers := &responseBuffers{budget: budget}
	broken := io.MultiReader(bytes.NewReader(make([]byte, 9000)), &failingReader{})
	if content, err := buffers.readAll(broken); err == nil || content != nil || budget.left != 1<<20 {
		t.Errorf("%d bytes of a broken body, error %v, %d bytes left", len(content), err, budget.left)
	}
	if content, err := buffers.readAll(bytes.NewReader([]byte("whole"))); string(content) != "whole" || err != nil {
		t.Errorf("%q, error %v", content, err)
	}
	buffers.end()
	if _, err := buffers.readAll(bytes.NewReader([]byte("late"))); err == nil || budget.left != 1<<20 {
		t.Errorf("error %v of a response that arrives after its request has ended, %d bytes left", err, budget.left)
	}
}

type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
