package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"reflect"
	"testing"
	"time"
)

// testTimeout bounds every wait that is expected to succeed.
const testTimeout = 20 * time.Second

// echo starts an echo server and returns its address.
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

func roundTrip(conn net.Conn, wait time.Duration) error {
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	var buffer [1]byte
	_, err := conn.Read(buffer[:])
	return err
}

func TestProxyHoldsDataWhileInterrupted(t *testing.T) {
	for _, mode := range []int{LinkHoldBoth, LinkHoldFromClient, LinkHoldToClient} {
		p := &Proxy{Target: echo(t)}
		conn := dial(t, p)
		if err := roundTrip(conn, testTimeout); err != nil {
			t.Fatalf("round trip over an open link: %v", err)
		}
		p.SetMode(mode)
		if err := roundTrip(conn, 50*time.Millisecond); err == nil {
			t.Errorf("round trip succeeded in mode %d", mode)
		}
		p.SetMode(LinkOpen)
		_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
		var buffer [1]byte
		if _, err := conn.Read(buffer[:]); err != nil {
			t.Errorf("held data is lost after mode %d: %v", mode, err)
		}
	}
}

func TestProxyReset(t *testing.T) {
	p := &Proxy{Target: echo(t)}
	conn := dial(t, p)
	if err := roundTrip(conn, testTimeout); err != nil {
		t.Fatal(err)
	}
	p.Reset()
	if err := roundTrip(conn, testTimeout); err == nil {
		t.Error("round trip succeeded after a reset")
	}
}

func TestRandomFaultIsDeterministic(t *testing.T) {
	draw := func(seed uint64) []Fault {
		random := rand.New(rand.NewPCG(seed, 1))
		var list []Fault
		for range 200 {
			list = append(list, RandomFault(random))
		}
		return list
	}
	if !reflect.DeepEqual(draw(7), draw(7)) || reflect.DeepEqual(draw(7), draw(8)) {
		t.Error("faults are not determined by the seed")
	}
	kinds := map[reflect.Type]bool{}
	for _, fault := range draw(7) {
		kinds[reflect.TypeOf(fault)] = true
	}
	if len(kinds) < 10 {
		t.Errorf("200 draws contain only %d kinds of faults", len(kinds))
	}
}
