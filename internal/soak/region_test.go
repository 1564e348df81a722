package soak

import (
	"net"
	"os"
	"testing"
	"time"
)

// TestInterRegionLink tests that the link between regions adds latency, that an interrupted link holds data
// and delivers it afterwards, and that other connections are not affected.
func TestInterRegionLink(t *testing.T) {
	for _, out := range []bool{true, false} {
		link := &interRegionLink{Latency: 30 * time.Millisecond}
		p := &Proxy{Target: echo(t), Direction: func(net.Conn) direction { return direction{link: link, out: out} }}
		localProxy := &Proxy{Target: echo(t), Direction: func(net.Conn) direction { return direction{} }}
		conn, local := dial(t, p), dial(t, localProxy)
		startedAt := time.Now()
		if err := roundTrip(conn, testTimeout); err != nil {
			t.Fatalf("round trip over an open link: %v", err)
		}
		if took := time.Since(startedAt); took < 2*link.Latency {
			t.Errorf("round trip took %s with a one-way latency of %s", took, link.Latency)
		}
		for _, f := range []regionFault{{Out: true}, {In: true}, {Out: true, In: true}} {
			link.setFault(f)
			if err := roundTrip(conn, 200*time.Millisecond); err == nil {
				t.Errorf("round trip succeeded with %+v", f)
			}
			if err := roundTrip(local, testTimeout); err != nil {
				t.Errorf("round trip within a region: %v", err)
			}
			link.setFault(regionFault{})
			_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
			var buffer [1]byte
			if _, err := conn.Read(buffer[:]); err != nil {
				t.Errorf("held data is lost: %v", err)
			}
		}
	}
}

// TestPeerInode tests that the process that opened a connection is identified by its socket.
func TestPeerInode(t *testing.T) {
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
	inode := peerInode(server)
	if inode == "" || !processOwnsSocket(os.Getpid(), inode) {
		t.Errorf("socket %q is not attributed to this process", inode)
	}
	if processOwnsSocket(os.Getpid(), "0") || processOwnsSocket(os.Getppid(), inode) {
		t.Error("a socket is attributed to the wrong process")
	}
}
