package upstream

import (
	"context"
	"net"
	"testing"
)

func TestRefusesConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	client := New()
	if client.RefusesConnections(context.Background(), address) {
		t.Error("RefusesConnections is true for an address with a listener")
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if !client.RefusesConnections(context.Background(), address) {
		t.Error("RefusesConnections is false for an address without a listener")
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	if client.RefusesConnections(cancelled, address) {
		t.Error("RefusesConnections is true although the context was cancelled")
	}
}
