package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestCallersDoNotFrameRequests guards against a header that makes a replica read a request's body differently than it
// was sent, or as another request.
func TestCallersDoNotFrameRequests(t *testing.T) {
	const body = "0\r\n\r\nPOST /other HTTP/1.1\r\nHost: other\r\nContent-Length: 5\r\n\r\nhello"
	for _, header := range []http.Header{
		{"Transfer-Encoding": {"chunked"}},
		{"transfer-encoding": {"CHUNKED"}},
		{"Transfer-Encoding": {"identity", "chunked"}},
		{"Content-Length": {"3"}},
		{"content-length": {"0"}, "Transfer-Encoding": {"chunked"}},
		{"Trailer": {"X-T"}, "Transfer-Encoding": {"chunked"}},
		{"Host": {"other"}},
		{"host": {"other"}},
	} {
		header.Set("X-Custom", "kept")
		request, got, err := receive(t, &Call{Method: http.MethodPost, Target: "/", Host: "own", Header: header, Body: []byte(body)})
		if err != nil {
			t.Errorf("%v: %s", header, err)
			continue
		}
		if got != body || request.Host != "own" || len(request.TransferEncoding)+len(request.Trailer) > 0 || request.Header.Get("X-Custom") != "kept" {
			t.Errorf("%v: body %q, host %q, transfer encoding %v, trailer %v, header %v", header, got, request.Host, request.TransferEncoding, request.Trailer, request.Header)
		}
	}
}

// receive makes a call and returns the request as a replica reads it.
func receive(t *testing.T, call *Call) (request *http.Request, body string, err error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	call.Address = listener.Addr().String()
	go func() {
		if answer, err := New().Do(ctx, call); err == nil {
			answer.Close()
		}
	}()
	conn, err := listener.Accept()
	if err != nil {
		return nil, "", err
	}
	defer conn.Close()
	request, err = http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return nil, "", err
	}
	content, err := io.ReadAll(request.Body)
	return request, string(content), err
}
