// Package socket tells what the operating system knows of a TCP connection.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// pollInterval is the time between two looks at a connection whose peer has not acknowledged everything.
const pollInterval = time.Millisecond

// AwaitDelivery waits until the peer's system has acknowledged all that was written to a connection, and returns an error
// if the connection was reset instead or is closed. It returns nil if the system does not tell.
func AwaitDelivery(conn net.Conn) error {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return err
	}
	for {
		pending, err := undelivered(raw)
		if errors.Is(err, errUnsupported) {
			return nil
		}
		if err != nil || pending == 0 {
			return err
		}
		time.Sleep(pollInterval)
	}
}

// errUnsupported reports that the system does not tell what was acknowledged.
var errUnsupported = errors.New("the state of the connection is unknown")

// undelivered returns how many bytes were written but not acknowledged, or the error of the connection. The error is read
// last, so that none is missed if nothing is pending.
func undelivered(raw syscall.RawConn) (pending int, err error) {
	var failed error
	err = raw.Control(func(fd uintptr) {
		pending, failed = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		if failed != nil {
			failed = errUnsupported
			return
		}
		code, optionErr := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		if optionErr == nil && code != 0 {
			failed = syscall.Errno(code)
		}
	})
	return pending, errors.Join(err, failed)
}
