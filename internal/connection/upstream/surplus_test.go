package upstream

import (
	"fmt"
	"net"
	"strings"
	"testing"
)

// TestLargeSurplusAnswers guards against the rest of a large surplus answer that is read as the answer to the request.
func TestLargeSurplusAnswers(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	body := strings.Repeat("x", maxMismatchedBody) + prefixHead + "Content-Length: 12\r\n\r\n" + prefixBody
	go answerOnce(listener, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: q\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	if status, got, err := read(t, listener.Addr().String()); err == nil {
		t.Errorf("status %d, body %q", status, got)
	}
}
