package upstream

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// maxServed is what a server may send into the buffers of a connection that its client closes early.
const maxServed = 32 << 20

// serveEndless answers one request with a start and a text that is repeated until the client closes the connection. It
// reports how much it sent.
func serveEndless(t *testing.T, start, repeated string) (address string, sent <-chan int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	total := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Write([]byte(start))
		block := []byte(strings.Repeat(repeated, 1<<10))
		count := 0
		for count < 4*maxServed {
			written, err := conn.Write(block)
			count += written
			if err != nil {
				break
			}
		}
		total <- count
	}()
	return listener.Addr().String(), total
}

// TestHeadsWithoutEndAreRefused guards against heads that fill a node's memory until the call's deadline.
func TestHeadsWithoutEndAreRefused(t *testing.T) {
	for name, c := range map[string]struct{ start, repeated string }{
		"no line":     {"HTTP/1.1 200 ", "x"},
		"fields":      {"HTTP/1.1 200 OK\r\n", "X-More: more\r\n"},
		"field value": {"HTTP/1.1 200 OK\r\nX-More: ", "more"},
		"early hints": {"", "HTTP/1.1 103 Early Hints\r\nX-More: more\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := serveEndless(t, c.start, c.repeated)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, err := New().Do(ctx, &Call{
				Address: address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, ID: "1",
				IDOf: func(header http.Header) string { return header.Get("Request-Id") },
			})
			if err == nil || ctx.Err() != nil {
				t.Errorf("error %v, context %v, want an error before the deadline", err, ctx.Err())
			}
			if count := <-sent; count > maxServed {
				t.Errorf("%d bytes were read", count)
			}
		})
	}
}

// TestLargeHeadIsRead checks that the limit leaves room for large heads and for the body behind them.
func TestLargeHeadIsRead(t *testing.T) {
	address, _ := serveEndless(t, "HTTP/1.1 200 OK\r\nX-More: "+strings.Repeat("x", maxHeadBytes/2)+"\r\nContent-Length: 1000000\r\n\r\n", "body")
	answer, err := New().Do(context.Background(), &Call{Address: address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Close()
	count := 0
	for err == nil {
		var read int
		read, err = answer.Read(make([]byte, 32<<10))
		count += read
	}
	if count != 1000000 {
		t.Errorf("%d bytes of the body, error %v", count, err)
	}
}
