package soak

import (
	"net"
	"os"
	"testing"
	"time"
)

// TestWayBetweenRegions: a way that is cut one way carries no exchange, and what it held once it
// is whole; one that is long carries it later. Connections that don't use it see nothing of it.
func TestWayBetweenRegions(t *testing.T) {
	for _, out := range []bool{true, false} {
		way := &Way{Apart: 30 * time.Millisecond}
		p := &Proxy{Target: echo(t), Uses: func(net.Conn) side { return side{way: way, out: out} }}
		near := &Proxy{Target: echo(t), Uses: func(net.Conn) side { return side{} }}
		conn, other := dial(t, p), dial(t, near)
		began := time.Now()
		if err := exchange(conn, patience); err != nil {
			t.Fatalf("an open way carries: %v", err)
		}
		if took := time.Since(began); took < 2*way.Apart {
			t.Errorf("there and back took %s, apart is %s", took, way.Apart)
		}
		for _, f := range []regionFault{{Out: true}, {In: true}, {Out: true, In: true}} {
			way.harm(f)
			if err := exchange(conn, 200*time.Millisecond); err == nil {
				t.Errorf("a way with %+v carried an exchange", f)
			}
			if err := exchange(other, patience); err != nil {
				t.Errorf("another connection: %v", err)
			}
			way.harm(regionFault{})
			_ = conn.SetReadDeadline(time.Now().Add(patience))
			var one [1]byte
			if _, err := conn.Read(one[:]); err != nil {
				t.Errorf("what the way held is lost: %v", err)
			}
		}
	}
}

// TestWhoseConnection: the process that opened a connection is told by its socket.
func TestWhoseConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	inode := inodeOf(server)
	if inode == "" || !holdsSocket(os.Getpid(), inode) {
		t.Errorf("socket %q is not found at this process", inode)
	}
	if holdsSocket(os.Getpid(), "0") || holdsSocket(os.Getppid(), inode) {
		t.Error("a socket is found where it is not")
	}
}
