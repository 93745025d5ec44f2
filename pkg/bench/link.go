package bench

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// link simulates the network between the regions. While it is cut, open
// connections across it stall, new ones time out, and packets are dropped.
type link struct {
	mu      sync.Mutex
	regions map[string]string
	// restored is nil while the link is up. While it is cut, restored is a
	// channel that is closed on restoration.
	restored chan struct{}
}

// dialTimeout limits each dial, including the wait for a cut link.
const dialTimeout = 2 * time.Second

var errLinkCut = errors.New("the link between the regions is cut")

// setRegion records the region of an address.
func (l *link) setRegion(address, region string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.regions == nil {
		l.regions = make(map[string]string)
	}
	l.regions[address] = region
}

// setURLRegion records the region of a base URL's address.
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

// cut returns nil while the link is up, otherwise a channel that is closed when
// the link is restored.
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

// dialer returns a dial function for a node in the region.
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

// linkConn is a connection across the link; it stalls while the link is cut.
type linkConn struct {
	net.Conn
	link      *link
	closeOnce sync.Once
	closed    chan struct{}
}

// waitRestored blocks while the link is cut; it returns an error if the
// connection is closed while waiting.
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

// wrapPacketConn returns a function that wraps the packet socket of a node in the
// region.
func (l *link) wrapPacketConn(region string) func(net.PacketConn) net.PacketConn {
	return func(conn net.PacketConn) net.PacketConn {
		return &linkPacketConn{PacketConn: conn, link: l, region: region}
	}
}

// linkPacketConn is a packet socket that drops packets across a cut link.
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
