package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Link modes of a Proxy.
const (
	// LinkOpen forwards all data.
	LinkOpen = iota
	// LinkHoldBoth holds all data in both directions.
	LinkHoldBoth
	// LinkHoldFromClient holds data from clients, LinkHoldToClient data to clients.
	LinkHoldFromClient
	LinkHoldToClient
)

// holdPollInterval is how often a connection checks whether its link is open again.
const holdPollInterval = 10 * time.Millisecond

// Proxy is a TCP proxy on loopback whose connections can be delayed, interrupted in one or both directions,
// and reset. Data on an interrupted link is not lost: it is held until the link is open again or reset.
type Proxy struct {
	// Target is the host:port to which connections are forwarded.
	Target string
	// Direction returns the direction of data from a client on the link between the regions. If it is nil,
	// connections do not use that link.
	Direction func(client net.Conn) direction

	listener net.Listener
	mode     atomic.Int32
	delay    atomic.Int64
	// changedAt is when the mode or the delay was last set, in Unix nanoseconds.
	changedAt atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Listen opens a listener on loopback and returns its address.
func (p *Proxy) Listen() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	p.listener = listener
	p.conns = map[net.Conn]struct{}{}
	go p.accept()
	return listener.Addr().String(), nil
}

// Close closes the listener and resets all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

// SetMode sets the link mode.
func (p *Proxy) SetMode(mode int) {
	p.mode.Store(int32(mode))
	p.changedAt.Store(time.Now().UnixNano())
}

// SetDelay sets the delay of each read in both directions.
func (p *Proxy) SetDelay(d time.Duration) {
	p.delay.Store(int64(d))
	p.changedAt.Store(time.Now().UnixNano())
}

// Steady reports whether the link has been open and without delay for longer than the given time.
func (p *Proxy) Steady(since time.Duration) bool {
	return p.mode.Load() == LinkOpen && p.delay.Load() == 0 && time.Since(time.Unix(0, p.changedAt.Load())) > since
}

// Reset closes all connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	clear(p.conns)
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	up := direction{}
	if p.Direction != nil {
		up = p.Direction(client)
	}
	// An interrupted link accepts connections, as the kernel does, but does not connect to the target.
	p.waitWhileHeld(LinkHoldFromClient, up)
	server, err := net.Dial("tcp", p.Target)
	if err != nil {
		if tcp, ok := client.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var done sync.WaitGroup
	done.Add(2)
	go func() {
		defer done.Done()
		p.copyDirection(client, server, LinkHoldFromClient, up)
	}()
	go func() {
		defer done.Done()
		p.copyDirection(server, client, LinkHoldToClient, up.reverse())
	}()
	done.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

// copyDirection copies data in one direction. When it ends, it closes both connections.
func (p *Proxy) copyDirection(from, to net.Conn, holdMode int, dir direction) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			time.Sleep(time.Duration(p.delay.Load()) + dir.delay())
			p.waitWhileHeld(holdMode, dir)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			p.waitWhileHeld(holdMode, dir)
			return
		}
	}
}

// waitWhileHeld blocks while the mode or the link between the regions interrupts a direction. holdMode is the
// mode that holds data in this direction only.
func (p *Proxy) waitWhileHeld(holdMode int, dir direction) {
	for {
		mode := int(p.mode.Load())
		if mode != LinkHoldBoth && mode != holdMode && !dir.cut() {
			return
		}
		time.Sleep(holdPollInterval)
	}
}
