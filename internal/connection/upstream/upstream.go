// Package upstream sends requests to replicas over its own connections. For each attempt it reports
// whether any byte was sent, whether the answer belongs to the request, and whether it was received
// completely.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/doorstep/doorstep/internal/connection/socket"
	"github.com/doorstep/doorstep/internal/connection/wellformed"
)

const (
	// dialTimeout is the timeout for opening a connection. With ReserveRetryTime it is limited to the
	// remaining time of the call divided by dialFraction, but not below minDialTimeout, so that an
	// unreachable replica leaves time for attempts at others.
	dialTimeout    = 700 * time.Millisecond
	dialFraction   = 3
	minDialTimeout = 150 * time.Millisecond
	// refusalTimeout is how long RefusesConnections waits for a connection to be refused.
	refusalTimeout = 100 * time.Millisecond
	// unackedTimeout is how long sent data may remain unacknowledged.
	unackedTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure the TCP keepalive, which detects
	// unresponsive peers.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultIdleTimeout is how long an idle connection is kept if the replica does not specify a
	// timeout. idleMargin is subtracted from a specified timeout.
	defaultIdleTimeout = 20 * time.Second
	idleMargin         = 500 * time.Millisecond
	// maxInlineBody is the largest body written before the answer is read.
	maxInlineBody = 16 << 10
	// maxHeadBytes bounds the head of an answer, maxReadAhead what the buffered reader may read beyond it.
	maxHeadBytes = 64 << 10
	maxReadAhead = 4 << 10
	// maxMismatchedBody is the largest body of a mismatched answer that is drained.
	maxMismatchedBody = 64 << 10
	// maxStatus is the largest status of HTTP.
	maxStatus = 599
	// tcpUserTimeout is the TCP_USER_TIMEOUT socket option on Linux.
	tcpUserTimeout = 18
)

// Error is a failed attempt. Sent reports whether any byte of the request may have reached the replica;
// if not, the request did not run.
type Error struct {
	Sent bool
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("attempt failed (sent %t): %v", e.Sent, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// errMismatchedAnswer is returned if an answer has no request ID or that of another request.
var errMismatchedAnswer = errors.New("answer has a missing or mismatched request ID")

// errHeadTooLarge is returned if the head of an answer exceeds maxHeadBytes.
var errHeadTooLarge = errors.New("the head of the answer is too large")

// errUnexpectedStatus is returned for a status outside 100 to 599, which HTTP does not define, and for a change of
// protocol, which no call requests.
var errUnexpectedStatus = errors.New("the answer has an unexpected status")

// errDeadlinePassed is returned if a call was not sent because its deadline had passed.
var errDeadlinePassed = errors.New("deadline passed before the call was sent")

// Call is one attempt.
type Call struct {
	// Address is the replica's host:port.
	Address string
	// Method, Target, Host, Header and Body are sent as they are, without those fields of Header that frame or route
	// the request: they follow from Host and Body.
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// ID is the request ID expected in the answer; empty disables the check.
	ID string
	// IDOf returns the request ID of an answer.
	IDOf func(http.Header) string
	// DeadlinePassed, if set, is called right before the first byte is written. If it returns true, the call
	// is not sent.
	DeadlinePassed func() bool
}

// Client is a pool of connections to replicas.
type Client struct {
	// OnConnect, if set, is called with the time it took to open each connection for a call. It must be
	// set before use.
	OnConnect func(address string, took time.Duration)
	// ReserveRetryTime limits the time for opening a connection so that most of a call's time remains for
	// other replicas. It must be set before use. Multi-region deployments use it because whole regions
	// can become unreachable.
	ReserveRetryTime bool

	mu     sync.Mutex
	idle   map[string][]*connection
	opened uint64
}

// New returns a client without connections.
func New() *Client { return &Client{idle: map[string][]*connection{}} }

type connection struct {
	net.Conn
	address   string
	reader    *bufio.Reader
	idleUntil time.Time
	// headLeft is how much may still be read while headLimited is set.
	headLimited bool
	headLeft    int
}

// Read implements io.Reader for the buffered reader. It limits what is read for the head of an answer, which
// http.ReadResponse does not.
func (c *connection) Read(p []byte) (int, error) {
	if !c.headLimited {
		return c.Conn.Read(p)
	}
	if c.headLeft <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.headLeft)])
	c.headLeft -= n
	return n, err
}

// readHead reads the head of an answer, skipping informational ones: whatever their header says, they are not the
// answer to a request.
func (c *connection) readHead(request *http.Request) (*http.Response, error) {
	c.headLimited, c.headLeft = true, maxHeadBytes+maxReadAhead
	defer func() { c.headLimited = false }()
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if err := wellformed.Fields(response.Header); err != nil {
			return nil, err
		}
		status := response.StatusCode
		switch {
		case status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols:
			return nil, errUnexpectedStatus
		case status >= http.StatusOK:
			return response, nil
		}
	}
}

// Answer is a replica's answer whose body has yet to be read.
type Answer struct {
	Status   int
	Header   http.Header
	response *http.Response
	client   *Client
	conn     *connection
	framed   bool
	reuse    bool
	stop     func() bool
	upload   *upload
	complete bool
}

// Do sends a call and reads the header of its answer. The context covers the whole exchange: when it
// ends, the connection is closed, which cancels the request.
func (c *Client) Do(ctx context.Context, call *Call) (*Answer, error) {
	conn, err := c.connect(ctx, call.Address)
	if err != nil {
		return nil, &Error{Err: err}
	}
	if call.DeadlinePassed != nil && call.DeadlinePassed() {
		_ = conn.Close()
		return nil, &Error{Err: errDeadlinePassed}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	answer, err := c.exchange(conn, call)
	if err != nil {
		stop()
		_ = conn.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Sent: true, Err: err}
	}
	answer.stop = stop
	return answer, nil
}

func (c *Client) exchange(conn *connection, call *Call) (*Answer, error) {
	upload, err := write(conn, call)
	if err != nil {
		return nil, err
	}
	request := &http.Request{Method: call.Method}
	response, err := conn.readHead(request)
	if err != nil {
		return nil, err
	}
	if call.ID != "" && call.IDOf(response.Header) != call.ID {
		response, err = nextAnswer(conn, response, request)
		if err != nil {
			return nil, err
		}
		if call.IDOf(response.Header) != call.ID {
			return nil, errMismatchedAnswer
		}
	}
	return &Answer{
		Status: response.StatusCode, Header: response.Header, response: response, client: c, conn: conn, upload: upload,
		framed: framed(response), reuse: !response.Close && framed(response),
	}, nil
}

// framed reports whether the end of the answer is determined by its header rather than by the end of
// the connection.
func framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// nextAnswer discards one mismatched answer and reads the next one.
func nextAnswer(conn *connection, mismatched *http.Response, request *http.Request) (*http.Response, error) {
	if mismatched.Close || !framed(mismatched) {
		return nil, errMismatchedAnswer
	}
	drained, err := io.Copy(io.Discard, io.LimitReader(mismatched.Body, maxMismatchedBody+1))
	if err != nil {
		return nil, err
	}
	if drained > maxMismatchedBody {
		return nil, errMismatchedAnswer
	}
	if err := wellformed.Fields(mismatched.Trailer); err != nil {
		return nil, err
	}
	return conn.readHead(request)
}

// write sends the header and a small body. A large body is written concurrently with reading the
// answer, which may arrive early.
func write(conn *connection, call *Call) (*upload, error) {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.Target, call.Host)
	if err := call.Header.WriteSubset(&head, framingFields(call.Header)); err != nil {
		return nil, err
	}
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(call.Body))
	}
	head.WriteString("\r\n")
	if len(call.Body) <= maxInlineBody {
		head.Write(call.Body)
		_, err := conn.Write(head.Bytes())
		return finishedUpload, err
	}
	if _, err := conn.Write(head.Bytes()); err != nil {
		return nil, err
	}
	started := &upload{done: make(chan struct{})}
	go func() {
		defer close(started.done)
		_, started.err = conn.Write(call.Body)
	}()
	return started, nil
}

// framingFields returns those fields of a header that would contradict the request's own framing and host, whatever the
// case of their names.
func framingFields(header http.Header) map[string]bool {
	fields := map[string]bool{}
	for name := range header {
		switch textproto.CanonicalMIMEHeaderKey(name) {
		case "Host", "Content-Length", "Transfer-Encoding", "Trailer":
			fields[name] = true
		}
	}
	return fields
}

// Read implements io.Reader for the body. It returns io.EOF only if the body was received completely.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	if err != io.EOF {
		return n, err
	}
	if !a.framed {
		if err := a.checkRequestDelivered(); err != nil {
			return n, err
		}
	}
	if err := wellformed.Fields(a.response.Trailer); err != nil {
		return n, err
	}
	a.complete = true
	return n, io.EOF
}

// checkRequestDelivered returns an error if the replica did not receive the whole request. An answer without a length ends
// with its connection, and the end alone does not tell that the replica broke it off: a reset is reported once, maybe to
// the write of the request, and it comes after the end if the replica closed the connection before the request arrived.
func (a *Answer) checkRequestDelivered() error {
	if err := a.upload.wait(); err != nil {
		return err
	}
	return socket.AwaitDelivery(a.conn.Conn)
}

// Close ends the exchange. The connection is kept for reuse if the answer was received completely.
func (a *Answer) Close() {
	a.stop()
	if a.complete && a.reuse && a.upload.succeeded() && a.conn.reader.Buffered() == 0 {
		a.client.keep(a.conn, a.Header)
		return
	}
	_ = a.conn.Close()
}

// RefusesConnections reports whether connections to an address are refused, as nothing listens there.
// An address that does not respond does not count as refusing.
func (c *Client) RefusesConnections(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	opened, err := c.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = opened.Close()
	return false
}

func (c *Client) connect(ctx context.Context, address string) (*connection, error) {
	for {
		conn := c.take(address)
		if conn == nil {
			break
		}
		if time.Now().Before(conn.idleUntil) && isIdle(conn.Conn) {
			return conn, nil
		}
		_ = conn.Close()
	}
	startedAt := time.Now()
	opened, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if c.OnConnect != nil {
		c.OnConnect(address, time.Since(startedAt))
	}
	conn := &connection{Conn: opened, address: address}
	conn.reader = bufio.NewReaderSize(conn, maxReadAhead)
	return conn, nil
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	c.mu.Lock()
	c.opened++
	c.mu.Unlock()
	dialer := net.Dialer{
		Timeout:         c.connectTimeout(ctx),
		Control:         setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// connectTimeout returns the timeout for opening a connection.
func (c *Client) connectTimeout(ctx context.Context) time.Duration {
	deadline, bounded := ctx.Deadline()
	if !bounded || !c.ReserveRetryTime {
		return dialTimeout
	}
	return min(dialTimeout, max(time.Until(deadline)/dialFraction, minDialTimeout))
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
}

// isIdle reports whether an idle connection is still open and has no unread data.
func isIdle(conn net.Conn) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

func (c *Client) take(address string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[address]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	c.idle[address] = kept[:len(kept)-1]
	return last
}

func (c *Client) keep(conn *connection, header http.Header) {
	conn.idleUntil = time.Now().Add(idleTimeout(header))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[conn.address] = append(c.idle[conn.address], conn)
}

// idleTimeout returns the timeout from the replica's Keep-Alive header.
func idleTimeout(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if name == "timeout" && err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}

// Idle returns the number of idle connections to an address.
func (c *Client) Idle(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle[address])
}

// Opened returns the total number of connections opened.
func (c *Client) Opened() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	closing := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, conn := range closing {
		_ = conn.Close()
	}
}

// CloseExpired closes idle connections whose timeout has expired.
func (c *Client) CloseExpired(now time.Time) {
	var closing []*connection
	c.mu.Lock()
	for address, kept := range c.idle {
		fresh := kept[:0]
		for _, conn := range kept {
			if now.Before(conn.idleUntil) {
				fresh = append(fresh, conn)
				continue
			}
			closing = append(closing, conn)
		}
		c.idle[address] = fresh
		if len(fresh) == 0 {
			delete(c.idle, address)
		}
	}
	c.mu.Unlock()
	for _, conn := range closing {
		_ = conn.Close()
	}
}
