package bench

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// link is the connection between the regions. While it is cut, connections
// across it stay open and silent, new ones are not made, and packets are lost.
type link struct {
	mu      sync.Mutex
	regions map[string]string
	// up is closed while the link works and replaced when it is cut.
	restored chan struct{}
}

// dialTimeout bounds the wait for a connection across a cut link.
const dialTimeout = 2 * time.Second

var errLinkCut = errors.New("the link between the regions is cut")

// setRegion notes the region of an address.
func (l *link) setRegion(address, region string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.regions == nil {
		l.regions = make(map[string]string)
	}
	l.regions[address] = region
}

// setURLRegion notes the region of a base URL's address.
func (l *link) setURLRegion(url, region string) {
	l.setRegion(strings.TrimPrefix(url, "http://"), region)
}

// crosses reports whether traffic from the region to the address uses the link.
func (l *link) crosses(region, address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	other, known := l.regions[address]
	return known && other != region
}

// cut returns a channel that is closed when the link works, nil when it
// works now.
func (l *link) cut() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restored
}

// CutLink cuts the link between the regions or restores it. The fleet must
// have been started with CuttableLink.
func (f *Fleet) CutLink(cut bool) {
	l := &f.link
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut && l.restored == nil {
		l.restored = make(chan struct{})
	}
	if !cut && l.restored != nil {
		close(l.restored)
		l.restored = nil
	}
}

// dialer opens connections for a node in the region.
func (l *link) dialer(region string) func(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		if !l.crosses(region, address) {
			return d.DialContext(ctx, network, address)
		}
		if restored := l.cut(); restored != nil {
			select {
			case <-restored:
			case <-ctx.Done():
				return nil, errLinkCut
			}
		}
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &linkConn{Conn: c, link: l, closed: make(chan struct{})}, nil
	}
}

// linkConn is a connection across the link.
type linkConn struct {
	net.Conn
	link      *link
	closeOnce sync.Once
	closed    chan struct{}
}

// waitRestored returns when the link works, or with an error when the connection is
// closed.
func (c *linkConn) waitRestored() error {
	for restored := c.link.cut(); restored != nil; restored = c.link.cut() {
		select {
		case <-restored:
		case <-c.closed:
			return net.ErrClosed
		}
	}
	return nil
}

// Read implements net.Conn.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if waitErr := c.waitRestored(); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// Write implements net.Conn.
func (c *linkConn) Write(p []byte) (int, error) {
	if err := c.waitRestored(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// wrapPacketConn wraps the socket of a node in the region.
func (l *link) wrapPacketConn(region string) func(net.PacketConn) net.PacketConn {
	return func(conn net.PacketConn) net.PacketConn {
		return &linkPacketConn{PacketConn: conn, link: l, region: region}
	}
}

// linkPacketConn is a packet socket whose packets across a cut link are lost.
type linkPacketConn struct {
	net.PacketConn
	link   *link
	region string
}

func (c *linkPacketConn) drops(address net.Addr) bool {
	return c.link.cut() != nil && c.link.crosses(c.region, address.String())
}

// ReadFrom implements net.PacketConn.
func (c *linkPacketConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, address, err := c.PacketConn.ReadFrom(p)
		if err != nil || !c.drops(address) {
			return n, address, err
		}
	}
}

// WriteTo implements net.PacketConn.
func (c *linkPacketConn) WriteTo(p []byte, address net.Addr) (int, error) {
	if c.drops(address) {
		return len(p), nil
	}
	return c.PacketConn.WriteTo(p, address)
}
