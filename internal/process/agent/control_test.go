package agent

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// TestControlResponsesAreLimited guards against the part of a response without end that is taken for the whole.
func TestControlResponsesAreLimited(t *testing.T) {
	for size, want := range map[int]error{0: nil, maxControlBytes: nil, maxControlBytes + 1: errResponseTooLarge, 4 * maxControlBytes: errResponseTooLarge} {
		response := strings.Repeat("x", size)
		content, err := readControl(strings.NewReader(response))
		if !errors.Is(err, want) || err == nil && len(content) != size {
			t.Errorf("%d bytes: read %d, error %v", size, len(content), err)
		}
		if err := discardControl(strings.NewReader(response)); !errors.Is(err, want) {
			t.Errorf("%d bytes: error %v", size, err)
		}
	}
	cut := io.MultiReader(strings.NewReader("part"), errorReader{})
	if _, err := readControl(cut); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("cut: error %v", err)
	}
}

// errorReader is the end of a response that was cut off.
type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
