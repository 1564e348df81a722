package agent

import (
	"errors"
	"io"
	"strconv"
	"sync"

	"github.com/doorstep/doorstep/internal/connection/upstream"
)

const (
	// maxResponseBytes bounds a buffered response, maxBufferedBytes all responses that are buffered at the same
	// time.
	maxResponseBytes = 64 << 20
	maxBufferedBytes = 96 << 20
	// bufferedFraction limits all buffered responses to a fraction of the machine's memory: half of the memory is for
	// the heap, and a response that grows is copied.
	bufferedFraction = 4
	// smallResponseBytes is the largest size of a response that may use the part of the buffers that is reserved for
	// small ones, one in smallReserveFraction bytes.
	smallResponseBytes   = 64 << 10
	smallReserveFraction = 4
	megabyte             = 1 << 20
	// minBufferBytes is the initial size of a buffer, which doubles whenever it is full.
	minBufferBytes = 4 << 10
)

var (
	errResponseTooLarge = errors.New("the response is too large")
	errBuffersFull      = errors.New("too many large responses are buffered")
)

// byteBudget is the memory that is left for buffered responses. Without a reserve for small responses, a few large ones
// could let those of all other requests fail.
type byteBudget struct {
	mu           sync.Mutex
	left         int
	smallReserve int
}

// newByteBudget returns the budget for a machine with the given memory in megabytes, 0 if it is not limited.
func newByteBudget(memoryMb int) *byteBudget {
	total := maxBufferedBytes
	if memoryMb > 0 {
		total = min(total, memoryMb*megabyte/bufferedFraction)
	}
	return &byteBudget{left: total, smallReserve: total / smallReserveFraction}
}

// take takes memory for a response that then has the given size in total.
func (b *byteBudget) take(count, size int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.left - count
	if left < 0 || size > smallResponseBytes && left < b.smallReserve {
		return false
	}
	b.left = left
	return true
}

func (b *byteBudget) give(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += count
}

// newResponseBuffers returns the buffers of one request, which must be ended.
func (a *Agent) newResponseBuffers() *responseBuffers {
	return &responseBuffers{budget: a.responseBudget}
}

// responseBuffers accounts for the responses that are buffered for one request until it ends.
type responseBuffers struct {
	budget *byteBudget
	mu     sync.Mutex
	taken  int
	ended  bool
}

// take reserves memory for a response that then has the given size in total. It fails once the request has ended.
func (b *responseBuffers) take(count, size int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended || !b.budget.take(count, size) {
		return false
	}
	b.taken += count
	return true
}

// give returns the memory of a response that is not used.
func (b *responseBuffers) give(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		b.taken -= count
		b.budget.give(count)
	}
}

// end returns the memory of all responses.
func (b *responseBuffers) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	b.budget.give(b.taken)
	b.taken = 0
}

// read reads the body of a response. It fails with errResponseTooLarge or errBuffersFull rather than return a part of
// the body.
func (b *responseBuffers) read(answer *upstream.Answer) ([]byte, error) {
	if declared, err := strconv.ParseInt(answer.Header.Get("Content-Length"), 10, 64); err == nil && declared > maxResponseBytes {
		return nil, errResponseTooLarge
	}
	return b.readAll(answer)
}

func (b *responseBuffers) readAll(body io.Reader) ([]byte, error) {
	content, err := []byte(nil), error(nil)
	for err == nil {
		if len(content) == cap(content) {
			grown, failed := b.grow(content)
			if failed != nil {
				b.give(cap(content))
				return nil, failed
			}
			content = grown
		}
		var count int
		count, err = body.Read(content[len(content):cap(content)])
		content = content[:len(content)+count]
	}
	if errors.Is(err, io.EOF) {
		return content, nil
	}
	b.give(cap(content))
	return nil, err
}

// grow returns a larger buffer with the same content.
func (b *responseBuffers) grow(content []byte) ([]byte, error) {
	size := min(max(2*cap(content), minBufferBytes), maxResponseBytes+1)
	switch {
	case len(content) > maxResponseBytes:
		return nil, errResponseTooLarge
	case !b.take(size-cap(content), size):
		return nil, errBuffersFull
	}
	grown := make([]byte, len(content), size)
	copy(grown, content)
	return grown, nil
}
