package upstream

import (
	"context"
	"net"
	"testing"
)

func TestRefuses(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	client := New()
	if client.Refuses(context.Background(), address) {
		t.Error("an address with a listener refuses nothing")
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if !client.Refuses(context.Background(), address) {
		t.Error("an address whose listener is gone refuses connections")
	}
	left, cancel := context.WithCancel(context.Background())
	cancel()
	if client.Refuses(left, address) {
		t.Error("nothing is known of an address that was not asked")
	}
}
