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

func pollHangup(fd int32) bool { return poll(fd, unix.POLLRDHUP)&hangupEvents != 0 }

// HasUnread reports whether the peer has sent bytes that this process has not read.
func HasUnread(conn syscall.RawConn) bool {
	var unread bool
	err := conn.Control(func(fd uintptr) {
		got := poll(int32(fd), unix.POLLIN|unix.POLLRDHUP)
		unread = got&unix.POLLIN != 0 && got&hangupEvents == 0
	})
	return err == nil && unread
}

// poll returns the events that have occurred, zero after an error.
func poll(fd int32, events int16) int16 {
	fds := [1]unix.PollFd{{Fd: fd, Events: events}}
	for {
		n, err := unix.Poll(fds[:], 0)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if err != nil || n == 0 {
			return 0
		}
		return fds[0].Revents
	}
}
