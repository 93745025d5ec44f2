package distribution

import (
	"context"
	"encoding/hex"
	"time"

	"cassiapin/pkg/config"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

const (
	// fetchTimeout bounds the fetch of a configuration from one node.
	fetchTimeout = 3 * time.Second
	// maxSources bounds the neighbours that are kept as fallback sources of the
	// wanted configuration.
	maxSources = 4
)

// notice announces the sender's active configuration.
type notice struct {
	Number uint64 `cbor:"1,keyasint"`
	Hash   []byte `cbor:"2,keyasint,omitempty"`
}

// fetchRequest requests a configuration with at least the given number.
type fetchRequest struct {
	Number uint64 `cbor:"1,keyasint"`
}

// fetchResponse carries the stored value, compressed with zstd.
type fetchResponse struct {
	Number     uint64 `cbor:"1,keyasint"`
	Compressed []byte `cbor:"2,keyasint"`
}

// fetchState is the state of the fetch in progress and its fallback sources.
type fetchState struct {
	inFlight bool
	wanted   uint64
	sources  []peer.NodeID
}

func (s *Service) onNotice(_ time.Time, from peer.NodeID, m notice) { s.fetchIfNewer(from, m) }

// fetchIfNewer starts a fetch if a neighbour announces a higher number. A
// configuration that was rejected is not fetched again.
func (s *Service) fetchIfNewer(from peer.NodeID, m notice) {
	if m.Number <= s.number() || s.isRefused(m) {
		return
	}
	f := &s.fetch
	if m.Number > f.wanted {
		f.wanted, f.sources = m.Number, nil
	}
	if m.Number == f.wanted && len(f.sources) < maxSources {
		f.sources = append(f.sources, from)
	}
	s.fetchNext()
}

func (s *Service) isRefused(m notice) bool {
	r := s.refused
	return r != nil && r.Number == m.Number && (len(m.Hash) == 0 || hex.EncodeToString(m.Hash) == r.Hash)
}

// fetchNext fetches from the next source; at most one fetch is in flight.
func (s *Service) fetchNext() {
	f := &s.fetch
	if f.inFlight {
		return
	}
	if len(f.sources) == 0 || f.wanted <= s.number() {
		// All sources failed. Resetting wanted lets a lower announced number
		// start a fetch again.
		f.wanted, f.sources = 0, nil
		return
	}
	from := f.sources[0]
	f.sources = f.sources[1:]
	f.inFlight = true
	s.fetches.Inc()
	request := fetchRequest{Number: f.wanted}
	s.sends = append(s.sends, func() {
		s.caller.Call(from, kindFetch, request, fetchTimeout, func(raw []byte, err error) {
			s.locked(func(now time.Time) {
				s.fetch.inFlight = false
				if err == nil {
					s.acceptFetched(now, raw)
				}
				s.fetchNext()
			})
		})
	})
}

// acceptFetched activates a fetched configuration if it is valid and newer.
func (s *Service) acceptFetched(now time.Time, raw []byte) {
	var a fetchResponse
	if err := peer.Decode(raw, &a); err != nil {
		return
	}
	stored, err := decompress(a.Compressed)
	if err != nil {
		return // Corrupted by the peer; it is read from another source or the object store.
	}
	s.accept(now, stored, false)
}

func (s *Service) onFetch(_ context.Context, _ peer.NodeID, body []byte) (any, error) {
	var m fetchRequest
	if err := peer.Decode(body, &m); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	number := s.number()
	if number == 0 || number < m.Number {
		return nil, result.New(result.NoConfiguration, "configuration %d is not here, %d is", m.Number, number)
	}
	return fetchResponse{Number: number, Compressed: s.compressed}, nil
}

// accept validates a stored value and activates it if its number is higher, so
// late, duplicate and reordered values have no effect. An invalid value from the
// object store is reported as a refusal in the status. One from a peer is reported
// only if its hash matches, since the peer may have corrupted it.
func (s *Service) accept(now time.Time, raw []byte, fromStore bool) {
	stored, err := DecodeStored(raw)
	if err != nil {
		if fromStore {
			s.refuse(now, Refusal{Hash: hashJSON(raw), Reason: err.Error()})
		}
		return
	}
	if stored.Number <= s.number() {
		return
	}
	if s.refused != nil && s.refused.Hash == stored.Hash && s.refused.Number == stored.Number {
		return
	}
	if err := s.opts.Validate(stored.Declarations); err != nil {
		s.refuse(now, Refusal{Number: stored.Number, Hash: stored.Hash, Reason: err.Error()})
		return
	}
	s.activate(stored, raw)
}

// refuse records the refusal; the previous configuration stays active.
func (s *Service) refuse(now time.Time, r Refusal) {
	if s.refused != nil && s.refused.Hash == r.Hash && s.refused.Number == r.Number {
		return
	}
	r.At = now
	s.refused = &r
	s.refusals.Inc()
	s.logRefusal(r)
}

// activate swaps the snapshot and announces it to the neighbours, which can then
// fetch it from this node.
func (s *Service) activate(stored Stored, raw []byte) {
	s.compressed = compress(raw)
	s.refused = nil
	s.snapshot.Store(config.NewSnapshot(stored.Number, stored.Hash, stored.Declarations))
	s.notify = true
	s.log.Info("configuration in force", "number", stored.Number, "publisher", stored.Publisher)
	s.events.Record(timeline.Event{Kind: timeline.ConfigActivated, Config: stored.Number, Detail: shortHash(stored.Hash)})
	hash, _ := hex.DecodeString(stored.Hash)
	n := notice{Number: stored.Number, Hash: hash}
	s.sends = append(s.sends, func() {
		for _, id := range s.overlay.Neighbours() {
			_ = s.msgr.Notify(id, kindNotice, n)
		}
	})
}
