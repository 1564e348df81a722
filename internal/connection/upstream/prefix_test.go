package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

const (
	prefixHead = "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Sign: s\r\n"
	prefixBody = "hello, world"
)

// prefixAnswers are answers that end with their last byte, so that no prefix of them is complete.
var prefixAnswers = map[string]string{
	"length":             prefixHead + "Content-Length: 12\r\n\r\n" + prefixBody,
	"chunks":             prefixHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n",
	"trailers":           prefixHead + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\nc\r\n" + prefixBody + "\r\n0\r\nX-T: t\r\n\r\n",
	"bare newlines":      "HTTP/1.1 200 OK\nX-Id: r\nX-Sign: s\nContent-Length: 12\n\n" + prefixBody,
	"HTTP/1.0":           "HTTP/1.0 200 OK\r\nX-Id: r\r\nContent-Length: 12\r\n\r\n" + prefixBody,
	"informational":      "HTTP/1.1 100 Continue\r\n\r\n" + prefixHead + "Content-Length: 12\r\n\r\n" + prefixBody,
	"informational, own": "HTTP/1.1 103 Early Hints\r\nX-Id: r\r\nX-Sign: s\r\n\r\n" + prefixHead + "Content-Length: 12\r\n\r\n" + prefixBody,
	"surplus answer":     "HTTP/1.1 200 OK\r\nX-Id: q\r\nContent-Length: 5\r\n\r\nother" + prefixHead + "Content-Length: 12\r\n\r\n" + prefixBody,
}

// answerOnce accepts a connection, reads a request, answers with the given bytes and closes the connection.
func answerOnce(listener net.Listener, answer string) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	request := make([]byte, 4096)
	if _, err := conn.Read(request); err == nil {
		_, _ = io.WriteString(conn, answer)
	}
}

// read makes a call to an address and returns its status and body.
func read(t *testing.T, address string) (status int, body string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := New().Do(ctx, &Call{
		Address: address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, ID: "r",
		IDOf: func(header http.Header) string { return header.Get("X-Id") },
	})
	if err != nil {
		return 0, "", err
	}
	defer answer.Close()
	content, err := io.ReadAll(answer)
	return answer.Status, string(content), err
}

// TestPrefixesOfAnswersAreNotComplete guards against an answer whose replica stopped within its head or its body, and
// that is taken for a whole one.
func TestPrefixesOfAnswersAreNotComplete(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	for name, answer := range prefixAnswers {
		for end := range len(answer) {
			go answerOnce(listener, answer[:end])
			if status, body, err := read(t, listener.Addr().String()); err == nil {
				t.Errorf("%s: the first %d of %d bytes are taken for an answer with status %d and body %q", name, end, len(answer), status, body)
			}
		}
		go answerOnce(listener, answer)
		if status, body, err := read(t, listener.Addr().String()); err != nil || status != http.StatusOK || body != prefixBody {
			t.Errorf("%s: status %d, body %q, error %v", name, status, body, err)
		}
	}
}

// TestUnexpectedStatuses guards against an answer that cannot be passed on.
func TestUnexpectedStatuses(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	for _, status := range []string{"000", "000 OK", "001", "099", "-01", "+20", "20x", "2", "20", "0200", "2000", "600", "999", "101 Switching Protocols", ""} {
		go answerOnce(listener, "HTTP/1.1 "+status+"\r\nX-Id: r\r\nContent-Length: 0\r\n\r\n")
		if got, _, err := read(t, listener.Addr().String()); err == nil {
			t.Errorf("%s: taken for an answer with status %d", status, got)
		}
	}
}
