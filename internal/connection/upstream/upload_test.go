package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// uploadServer answers one request while its body arrives.
type uploadServer struct {
	// answer is sent once readFirst bytes of the body, or all if it is negative, were read.
	answer    string
	readFirst int64
	// finish ends the exchange.
	finish func(conn *net.TCPConn, body io.Reader)
}

// resetConnection discards what was not sent or read.
func resetConnection(conn *net.TCPConn, _ io.Reader) { _ = conn.SetLinger(0) }

// closeUnread closes a connection whose incoming data is not read.
func closeUnread(*net.TCPConn, io.Reader) {}

// readRest signals the end of the answer, and reads the rest of the upload before it closes the connection.
func readRest(conn *net.TCPConn, body io.Reader) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, body)
}

func (s *uploadServer) serve(listener net.Listener) {
	accepted, err := listener.Accept()
	if err != nil {
		return
	}
	conn := accepted.(*net.TCPConn)
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if s.readFirst < 0 {
		_, err = io.Copy(io.Discard, request.Body)
	} else {
		_, err = io.CopyN(io.Discard, request.Body, s.readFirst)
	}
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, s.answer)
	s.finish(conn, request.Body)
}

// sendUpload sends a body of the given size to a server and returns the answer's body.
func sendUpload(t *testing.T, server *uploadServer, size int) (string, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go server.serve(listener)
	return sendUploadTo(listener.Addr().String(), size)
}

// sendUploadTo sends a body of the given size to an address and returns the answer's body.
func sendUploadTo(address string, size int) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	answer, err := New().Do(ctx, &Call{
		Address: address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, ID: "r",
		IDOf: func(header http.Header) string { return header.Get("X-Id") }, Body: []byte(strings.Repeat("u", size)),
	})
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return string(body), err
}

const (
	unframedAnswer = prefixHead + "\r\n" + prefixBody
	framedAnswer   = prefixHead + "Content-Length: 12\r\n\r\n" + prefixBody
)

var uploadSizes = []int{0, 1 << 10, 64 << 10, 1 << 20, 8 << 20, 32 << 20}

// TestAnswersCutDuringUploadAreNotComplete guards against an answer without a length that is taken for a whole one
// although its replica broke off the connection: the write of the request may be all that reports the reset.
func TestAnswersCutDuringUploadAreNotComplete(t *testing.T) {
	const plays = 25
	for name, finish := range map[string]func(*net.TCPConn, io.Reader){"reset": resetConnection, "closed with unread data": closeUnread} {
		for _, size := range uploadSizes {
			if size <= maxInlineBody {
				continue
			}
			for range plays {
				server := &uploadServer{answer: unframedAnswer, readFirst: 4 << 10, finish: finish}
				if body, err := sendUpload(t, server, size); err == nil {
					t.Errorf("%s, upload of %d bytes: %q is taken for a whole answer", name, size, body)
				}
			}
		}
	}
}

// TestAnswersWithUploadsAreWhole checks that answers without a length are whole if their replica read the upload,
// and framed ones also if they come before its end.
func TestAnswersWithUploadsAreWhole(t *testing.T) {
	for name, server := range map[string]*uploadServer{
		"no length, after the upload":          {answer: unframedAnswer, readFirst: -1, finish: closeUnread},
		"no length, ended during the upload":   {answer: unframedAnswer, readFirst: 0, finish: readRest},
		"length, before the end of the upload": {answer: framedAnswer, readFirst: 0, finish: readRest},
		"length, upload is never read":         {answer: framedAnswer, readFirst: 0, finish: func(*net.TCPConn, io.Reader) { time.Sleep(100 * time.Millisecond) }},
		"chunks, before the end of the upload": {answer: prefixAnswers["chunks"], readFirst: 0, finish: readRest},
	} {
		for _, size := range uploadSizes {
			if body, err := sendUpload(t, server, size); err != nil || body != prefixBody {
				t.Errorf("%s, upload of %d bytes: %q, error %v", name, size, body, err)
			}
		}
	}
}

// TestAnswersBeforeTheRequestAreNotComplete guards against an answer without a length whose replica closed the connection
// before the request reached it. The connection ends in order then, and the write of the request succeeds, as the socket's
// buffer takes it.
func TestAnswersBeforeTheRequestAreNotComplete(t *testing.T) {
	const plays = 50
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, unframedAnswer)
			_ = conn.Close()
		}
	}()
	for _, size := range uploadSizes {
		for range plays {
			if body, err := sendUploadTo(listener.Addr().String(), size); err == nil {
				t.Errorf("upload of %d bytes: %q is taken for a whole answer", size, body)
			}
		}
	}
}
