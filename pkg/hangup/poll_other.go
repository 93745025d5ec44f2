//go:build !linux

package hangup

import "syscall"

// peerClosed leaves the detection to net/http on systems without POLLRDHUP.
func peerClosed(syscall.RawConn) bool { return false }
