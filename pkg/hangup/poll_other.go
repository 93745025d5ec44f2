//go:build !linux

package hangup

import "syscall"

// peerClosed leaves the detection to net/http on systems without POLLRDHUP.
func peerClosed(syscall.RawConn) bool { return false }

// HasUnread always returns false on systems without POLLRDHUP.
func HasUnread(syscall.RawConn) bool { return false }
