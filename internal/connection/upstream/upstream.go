// Package upstream sends requests to replicas over connections of its own, so that
// it is known of each attempt whether a byte of it left, whether the answer is the
// request's own, and whether it came whole.
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
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection. With SharesTime a call with little time left
	// gives it one part of it in dialParts, but no less than leastDial: what was not sent may be tried at
	// another replica, and behind a cut link no connection comes up, however long one waits (the
	// kernel asks again after a second). A caller that waits 1.2 s came to its second replica after
	// 0.7 s, and did not come to a third; it comes there after 0.4 s and 0.67 s.
	dialTimeout = 700 * time.Millisecond
	dialParts   = 3
	leastDial   = 150 * time.Millisecond
	// refusalWithin bounds the wait for a connection to be refused: a round trip, and as much
	// again for a busy machine.
	refusalWithin = 100 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged.
	unackedTimeout = 2 * time.Second
	// keepAliveIdle and keepAliveInterval find peers that fell silent.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// idleDefault is how long an idle connection is kept where the replica says
	// nothing, idleMargin is taken off what it says.
	idleDefault = 20 * time.Second
	idleMargin  = 500 * time.Millisecond
	// inlineBody is the largest body written before the answer is awaited.
	inlineBody = 16 << 10
	// surplusBound is how much of an answer that belongs to no request is read.
	surplusBound = 64 << 10
	// tcpUserTimeout is the option's number on Linux.
	tcpUserTimeout = 18
)

// Error is a failed attempt. Sent tells whether a byte of the request may have
// reached the replica; if not, the request did not run.
type Error struct {
	Sent bool
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("attempt failed (sent %t): %v", e.Sent, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// errForeignAnswer says that an answer carried no or another request's id.
var errForeignAnswer = errors.New("the answer belongs to another request")

// errLate says that a call was not sent, as its time was over.
var errLate = errors.New("it was too late to send the call")

// Call is one attempt.
type Call struct {
	// Address is the replica's host:port.
	Address string
	// Method, Target, Host, Header and Body are sent as they are.
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// ID must come back in the answer; empty demands nothing.
	ID string
	// IDOf reads the id of an answer.
	IDOf func(http.Header) string
	// Late, unless nil, reports right before the first byte is written whether it is too late for the
	// call: then it is not sent.
	Late func() bool
}

// Client keeps connections to replicas.
type Client struct {
	// OnConnect, unless nil, is told how long it took to open each connection for a call. It is set
	// before use.
	OnConnect func(address string, took time.Duration)
	// SharesTime is set, before use, where whole regions may be cut off: a call leaves most of its time
	// for another replica if no connection comes up.
	SharesTime bool

	mu    sync.Mutex
	idle  map[string][]*connection
	opens uint64
}

// New returns a client without connections.
func New() *Client { return &Client{idle: map[string][]*connection{}} }

type connection struct {
	net.Conn
	address   string
	reader    *bufio.Reader
	idleUntil time.Time
}

// Answer is a replica's answer whose body is still to be read.
type Answer struct {
	Status int
	Header http.Header
	body   io.ReadCloser
	client *Client
	conn   *connection
	reuse  bool
	stop   func() bool
	writes chan error
	whole  bool
}

// Do sends a call and reads the head of its answer. The context bounds the whole
// exchange: its end closes the connection, which cancels the request.
func (c *Client) Do(ctx context.Context, call *Call) (*Answer, error) {
	conn, err := c.connect(ctx, call.Address)
	if err != nil {
		return nil, &Error{Err: err}
	}
	if call.Late != nil && call.Late() {
		_ = conn.Close()
		return nil, &Error{Err: errLate}
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
	writes, err := write(conn, call)
	if err != nil {
		return nil, err
	}
	request := &http.Request{Method: call.Method}
	response, err := http.ReadResponse(conn.reader, request)
	if err != nil {
		return nil, err
	}
	if call.ID != "" && call.IDOf(response.Header) != call.ID {
		response, err = nextAnswer(conn, response, request)
		if err != nil {
			return nil, err
		}
		if call.IDOf(response.Header) != call.ID {
			return nil, errForeignAnswer
		}
	}
	return &Answer{
		Status: response.StatusCode, Header: response.Header, body: response.Body, client: c, conn: conn, writes: writes,
		reuse: !response.Close && framed(response),
	}, nil
}

// framed reports whether the answer's end is told by its head rather than by the
// end of the connection.
func framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// nextAnswer drops one surplus answer and reads the one behind it.
func nextAnswer(conn *connection, surplus *http.Response, request *http.Request) (*http.Response, error) {
	if surplus.Close || !framed(surplus) {
		return nil, errForeignAnswer
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(surplus.Body, surplusBound)); err != nil {
		return nil, err
	}
	return http.ReadResponse(conn.reader, request)
}

// write sends the head and a small body; a large one is sent beside the reading of
// the answer, which may come early.
func write(conn *connection, call *Call) (chan error, error) {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.Target, call.Host)
	if err := call.Header.Write(&head); err != nil {
		return nil, err
	}
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(call.Body))
	}
	head.WriteString("\r\n")
	if len(call.Body) <= inlineBody {
		head.Write(call.Body)
		_, err := conn.Write(head.Bytes())
		return nil, err
	}
	if _, err := conn.Write(head.Bytes()); err != nil {
		return nil, err
	}
	writes := make(chan error, 1)
	go func() {
		_, err := conn.Write(call.Body)
		writes <- err
	}()
	return writes, nil
}

// Read implements io.Reader over the body; io.EOF is returned only when the body
// came whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept when the answer came whole.
func (a *Answer) Close() {
	a.stop()
	written := true
	if a.writes != nil {
		select {
		case err := <-a.writes:
			written = err == nil
		default:
			written = false
		}
	}
	if a.whole && a.reuse && written && a.conn.reader.Buffered() == 0 {
		a.client.keep(a.conn, a.Header)
		return
	}
	_ = a.conn.Close()
}

// Refuses reports whether nothing listens at an address: the connection is refused. One that is
// silent is not known to be gone.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, refusalWithin)
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
		if time.Now().Before(conn.idleUntil) && quiet(conn.Conn) {
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
	return &connection{Conn: opened, address: address, reader: bufio.NewReader(opened)}, nil
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	c.mu.Lock()
	c.opens++
	c.mu.Unlock()
	dialer := net.Dialer{
		Timeout:         c.dialWithin(ctx),
		Control:         setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// dialWithin returns how long a connection may take to come up.
func (c *Client) dialWithin(ctx context.Context) time.Duration {
	deadline, bounded := ctx.Deadline()
	if !bounded || !c.SharesTime {
		return dialTimeout
	}
	return min(dialTimeout, max(time.Until(deadline)/dialParts, leastDial))
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
}

// quiet reports whether an idle connection is open and holds no unasked bytes.
func quiet(conn net.Conn) bool {
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
	conn.idleUntil = time.Now().Add(idleTime(header))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[conn.address] = append(c.idle[conn.address], conn)
}

// idleTime reads the replica's Keep-Alive header.
func idleTime(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if name == "timeout" && err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return idleDefault
}

// Idle returns how many connections to an address lie idle.
func (c *Client) Idle(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle[address])
}

// Opened returns how many connections were opened.
func (c *Client) Opened() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opens
}

// Forget closes the idle connections to an address.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	gone := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, conn := range gone {
		_ = conn.Close()
	}
}

// Prune closes idle connections whose time is over.
func (c *Client) Prune(now time.Time) {
	var gone []*connection
	c.mu.Lock()
	for address, kept := range c.idle {
		fresh := kept[:0]
		for _, conn := range kept {
			if now.Before(conn.idleUntil) {
				fresh = append(fresh, conn)
				continue
			}
			gone = append(gone, conn)
		}
		c.idle[address] = fresh
		if len(fresh) == 0 {
			delete(c.idle, address)
		}
	}
	c.mu.Unlock()
	for _, conn := range gone {
		_ = conn.Close()
	}
}
