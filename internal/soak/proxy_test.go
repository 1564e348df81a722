package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"reflect"
	"testing"
	"time"
)

// patience bounds every wait; no test depends on being fast.
const patience = 20 * time.Second

// echo serves one connection that gets back what it sends.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	address, err := p.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func exchange(conn net.Conn, wait time.Duration) error {
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	var one [1]byte
	_, err := conn.Read(one[:])
	return err
}

func TestProxyCutsAndHeals(t *testing.T) {
	for _, mode := range []int{LinkSilent, LinkMuteUp, LinkMuteDown} {
		p := &Proxy{Target: echo(t)}
		conn := dial(t, p)
		if err := exchange(conn, patience); err != nil {
			t.Fatalf("an open link carries: %v", err)
		}
		p.SetMode(mode)
		if err := exchange(conn, 50*time.Millisecond); err == nil {
			t.Errorf("mode %d carried an exchange", mode)
		}
		p.SetMode(LinkOpen)
		_ = conn.SetReadDeadline(time.Now().Add(patience))
		var one [1]byte
		if _, err := conn.Read(one[:]); err != nil {
			t.Errorf("mode %d lost what it held: %v", mode, err)
		}
	}
}

func TestProxyResets(t *testing.T) {
	p := &Proxy{Target: echo(t)}
	conn := dial(t, p)
	if err := exchange(conn, patience); err != nil {
		t.Fatal(err)
	}
	p.Reset()
	if err := exchange(conn, patience); err == nil {
		t.Error("a connection outlived its reset")
	}
}

func TestScheduleFollowsItsSeed(t *testing.T) {
	draw := func(seed uint64) []Fault {
		random := rand.New(rand.NewPCG(seed, 1))
		var list []Fault
		for range 200 {
			list = append(list, Draw(random))
		}
		return list
	}
	if !reflect.DeepEqual(draw(7), draw(7)) || reflect.DeepEqual(draw(7), draw(8)) {
		t.Error("a seed decides the faults")
	}
	kinds := map[reflect.Type]bool{}
	for _, fault := range draw(7) {
		kinds[reflect.TypeOf(fault)] = true
	}
	if len(kinds) < 10 {
		t.Errorf("200 draws show %d kinds", len(kinds))
	}
}
