package soak

import (
	"encoding/binary"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
)

// Sizes and offsets of the kernel's socket diagnostics messages (linux/inet_diag.h). A request identifies a
// socket by its two addresses, and the response contains its inode. Reading /proc/net/tcp instead is too slow
// on machines with many sockets.
const (
	netlinkInetDiag  = 4
	diagByFamily     = 20
	diagRequestBytes = 56
	diagInodeAt      = syscall.SizeofNlMsghdr + 68
	diagSourcePortAt = syscall.SizeofNlMsghdr + 8
	diagTargetPortAt = diagSourcePortAt + 2
	diagSourceAt     = diagTargetPortAt + 2
	diagTargetAt     = diagSourceAt + 16
	diagCookieAt     = diagTargetAt + 16 + 4
)

// peerInode returns the inode of the peer's socket of a loopback connection, empty if it is closed.
func peerInode(conn net.Conn) string {
	remote, isTCP := conn.RemoteAddr().(*net.TCPAddr)
	local, isLocalTCP := conn.LocalAddr().(*net.TCPAddr)
	if !isTCP || !isLocalTCP {
		return ""
	}
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, netlinkInetDiag)
	if err != nil {
		return ""
	}
	defer func() { _ = syscall.Close(fd) }()
	if err := syscall.Sendto(fd, diagRequest(remote, local), 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return ""
	}
	response := make([]byte, os.Getpagesize())
	n, _, err := syscall.Recvfrom(fd, response, 0)
	if err != nil || n < diagInodeAt+4 || binary.NativeEndian.Uint16(response[4:]) != diagByFamily {
		return ""
	}
	return strconv.Itoa(int(binary.NativeEndian.Uint32(response[diagInodeAt:])))
}

// diagRequest returns a request for the TCP socket with the given local and remote addresses.
func diagRequest(source, target *net.TCPAddr) []byte {
	const header = syscall.SizeofNlMsghdr
	request := make([]byte, header+diagRequestBytes)
	binary.NativeEndian.PutUint32(request, uint32(len(request)))
	binary.NativeEndian.PutUint16(request[4:], diagByFamily)
	binary.NativeEndian.PutUint16(request[6:], syscall.NLM_F_REQUEST)
	request[header], request[header+1] = syscall.AF_INET, syscall.IPPROTO_TCP
	// Match any state and any cookie.
	binary.NativeEndian.PutUint32(request[header+4:], ^uint32(0))
	binary.BigEndian.PutUint16(request[diagSourcePortAt:], uint16(source.Port))
	binary.BigEndian.PutUint16(request[diagTargetPortAt:], uint16(target.Port))
	copy(request[diagSourceAt:], source.IP.To4())
	copy(request[diagTargetAt:], target.IP.To4())
	binary.NativeEndian.PutUint64(request[diagCookieAt:], ^uint64(0))
	return request
}

// processOwnsSocket reports whether a process owns the socket with the inode.
func processOwnsSocket(pid int, inode string) bool {
	dir := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, entry := range entries {
		if target, err := os.Readlink(filepath.Join(dir, entry.Name())); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
