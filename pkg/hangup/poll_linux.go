package hangup

import (
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// hangupEvents are the states of a connection whose peer sends nothing more, even
// if bytes that it sent before are still unread.
const hangupEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// peerClosed reports whether the peer has closed or reset the connection, or this
// process has closed it.
func peerClosed(conn syscall.RawConn) bool {
	var closed bool
	err := conn.Control(func(fd uintptr) { closed = pollHangup(int32(fd)) })
	return err != nil || closed
}

func pollHangup(fd int32) bool {
	fds := [1]unix.PollFd{{Fd: fd, Events: unix.POLLRDHUP}}
	for {
		n, err := unix.Poll(fds[:], 0)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		return err == nil && n > 0 && fds[0].Revents&hangupEvents != 0
	}
}
