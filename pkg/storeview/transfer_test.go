package storeview

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"cassiapin/pkg/topology"
)

// slowTransfer is a store whose lists of configurations take long to arrive, as large ones
// do over a slow link.
type slowTransfer struct {
	*fakeStore
	takes          atomic.Int64
	begun, aborted atomic.Int64
}

func (c *slowTransfer) List(ctx context.Context, k Kind) ([]Object, topology.Revision, error) {
	objects, revision, err := c.fakeStore.List(ctx, k)
	if takes := time.Duration(c.takes.Load()); k == Configurations && takes > 0 {
		c.begun.Add(1)
		select {
		case <-ctx.Done():
			c.aborted.Add(1)
			return nil, 0, ctx.Err()
		case <-time.After(takes):
		}
	}
	return objects, revision, err
}

// TestLargeTransferIsNotAborted guards against a configuration that never arrives, because
// its lists end after the time of a small one and begin again.
func TestLargeTransferIsNotAborted(t *testing.T) {
	const takes = 2 * maxCallTimeout
	for name, request := range map[string]func(s *Service){
		"list": func(s *Service) {
			s.listRequested[Configurations].Store(true)
			s.callRequests[Configurations] <- struct{}{}
		},
		"read for a proof": func(s *Service) { s.readRequests <- Configurations },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := &slowTransfer{fakeStore: newFakeStore()}
			h := &hub{}
			s := startWith(t, c, h.join(Readers))
			waitFor(t, s, 1, time.Second)
			c.takes.Store(int64(takes))
			c.fakeStore.set(func() { c.fakeStore.version = 2 })
			request(s)
			waitFor(t, s, 2, 2*takes+time.Second) // A read for a proof is followed by a list.
			if n := c.aborted.Load(); n > 0 {
				t.Errorf("%d of %d lists were aborted", n, c.begun.Load())
			}
		})
	}
}
