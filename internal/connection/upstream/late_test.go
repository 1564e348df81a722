package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestLateCallIsNotSent checks that a call whose deadline passed while connecting is not sent.
func TestLateCallIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	read := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		count, _ := conn.Read(make([]byte, 1))
		read <- count
	}()
	_, err = New().Do(context.Background(), &Call{
		Address: listener.Addr().String(), Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, DeadlinePassed: func() bool { return true },
	})
	var failed *Error
	if !errors.As(err, &failed) || failed.Sent || !errors.Is(err, errDeadlinePassed) {
		t.Errorf("got error %v, want errDeadlinePassed and nothing sent", err)
	}
	if count := <-read; count > 0 {
		t.Error("the late call was written to the connection")
	}
}
