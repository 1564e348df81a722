package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Link modes of a Proxy.
const (
	// LinkOpen passes everything on.
	LinkOpen = iota
	// LinkSilent passes nothing on, either way.
	LinkSilent
	// LinkMuteUp drops what clients send, LinkMuteDown what they should get.
	LinkMuteUp
	LinkMuteDown
)

// holdPoll is how often a held direction looks whether its link is open again.
const holdPoll = 10 * time.Millisecond

// Proxy is a loopback link to Target that can be delayed, cut one way or both, and reset.
// A cut link loses nothing that TCP would not: bytes wait until it heals or is reset.
type Proxy struct {
	// Target is the host:port behind the link.
	Target string
	// Uses tells how a client's connection uses the way between the regions; nil for none does.
	Uses func(client net.Conn) side

	listener net.Listener
	mode     atomic.Int32
	delay    atomic.Int64
	// changedAt is when its mode or delay was set last, in Unix nanoseconds.
	changedAt atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Listen opens the link on loopback and returns its address.
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

// Close closes the link and all its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

// SetMode sets one of the link modes.
func (p *Proxy) SetMode(mode int) {
	p.mode.Store(int32(mode))
	p.changedAt.Store(time.Now().UnixNano())
}

// SetDelay delays every read of the link, each way.
func (p *Proxy) SetDelay(d time.Duration) {
	p.delay.Store(int64(d))
	p.changedAt.Store(time.Now().UnixNano())
}

// Steady reports whether the link has passed everything on at once for a while.
func (p *Proxy) Steady(since time.Duration) bool {
	return p.mode.Load() == LinkOpen && p.delay.Load() == 0 && time.Since(time.Unix(0, p.changedAt.Load())) > since
}

// Reset resets all open connections.
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
	up := side{}
	if p.Uses != nil {
		up = p.Uses(client)
	}
	// A link that is cut accepts as the kernel would, and carries nothing.
	p.hold(LinkMuteUp, up)
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
		p.pass(client, server, LinkMuteUp, up)
	}()
	go func() {
		defer done.Done()
		p.pass(server, client, LinkMuteDown, up.back())
	}()
	done.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

// pass copies one direction; its end closes both sides, as a process's end does.
func (p *Proxy) pass(from, to net.Conn, muted int, uses side) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			time.Sleep(time.Duration(p.delay.Load()) + uses.delay())
			p.hold(muted, uses)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			p.hold(muted, uses)
			return
		}
	}
}

// hold waits while a direction is cut.
func (p *Proxy) hold(muted int, uses side) {
	for {
		mode := int(p.mode.Load())
		if mode != LinkSilent && mode != muted && !uses.cut() {
			return
		}
		time.Sleep(holdPoll)
	}
}
