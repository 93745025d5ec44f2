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
	// fetchTimeout bounds the fetch of a snapshot from one neighbour.
	fetchTimeout = 3 * time.Second
	// maxSources bounds the neighbours that are remembered as having the wanted
	// snapshot, as alternatives to the first.
	maxSources = 4
)

// notice announces the configuration that the sender has in force.
type notice struct {
	Number uint64 `cbor:"1,keyasint"`
	Hash   []byte `cbor:"2,keyasint,omitempty"`
}

// fetchRequest asks for a configuration with at least this number.
type fetchRequest struct {
	Number uint64 `cbor:"1,keyasint"`
}

// fetchAnswer carries the stored value, compressed with zstd.
type fetchAnswer struct {
	Number uint64 `cbor:"1,keyasint"`
	Packed []byte `cbor:"2,keyasint"`
}

// fetchState is the fetch in progress and its alternatives.
type fetchState struct {
	busy    bool
	wanted  uint64
	sources []peer.NodeID
}

func (s *Service) onNotice(_ time.Time, from peer.NodeID, m notice) { s.heard(from, m) }

// heard starts a fetch when a neighbour has a higher number. A configuration
// that was refused is not fetched again.
func (s *Service) heard(from peer.NodeID, m notice) {
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

// fetchNext asks the next source, one at a time.
func (s *Service) fetchNext() {
	f := &s.fetch
	if f.busy {
		return
	}
	if len(f.sources) == 0 || f.wanted <= s.number() {
		// Nobody has it, so that a lower announced number is worth a fetch.
		f.wanted, f.sources = 0, nil
		return
	}
	from := f.sources[0]
	f.sources = f.sources[1:]
	f.busy = true
	s.fetches.Inc()
	request := fetchRequest{Number: f.wanted}
	s.out = append(s.out, func() {
		s.caller.Call(from, kindFetch, request, fetchTimeout, func(raw []byte, err error) {
			s.locked(func(now time.Time) {
				s.fetch.busy = false
				if err == nil {
					s.acceptAnswer(now, raw)
				}
				s.fetchNext()
			})
		})
	})
}

// acceptAnswer puts a fetched configuration in force if it is valid.
func (s *Service) acceptAnswer(now time.Time, raw []byte) {
	var a fetchAnswer
	if err := peer.Decode(raw, &a); err != nil {
		return
	}
	stored, err := unpack(a.Packed)
	if err != nil {
		return // Damaged by the peer; another source or the platform has it.
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
	return fetchAnswer{Number: number, Packed: s.packed}, nil
}

// accept checks a stored value and puts it in force if its number is higher.
// Late, duplicate and reordered values therefore have no effect. A value of
// the platform that is invalid is kept as the refusal that status shows; one
// from a peer only if its content is intact, since it may be damaged there.
func (s *Service) accept(now time.Time, raw []byte, fromPlatform bool) {
	stored, err := DecodeStored(raw)
	if err != nil {
		if fromPlatform {
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
	s.putInForce(stored, raw)
}

// refuse keeps the reason; the previous configuration stays in force.
func (s *Service) refuse(now time.Time, r Refusal) {
	if s.refused != nil && s.refused.Hash == r.Hash && s.refused.Number == r.Number {
		return
	}
	r.At = now
	s.refused = &r
	s.refusals.Inc()
	s.logRefusal(r)
}

// putInForce swaps the snapshot and announces it to the neighbours, which can
// fetch it from here from now on.
func (s *Service) putInForce(stored Stored, raw []byte) {
	s.packed = pack(raw)
	s.refused = nil
	s.snapshot.Store(config.NewSnapshot(stored.Number, stored.Hash, stored.Declarations))
	s.notify = true
	s.log.Info("configuration in force", "number", stored.Number, "publisher", stored.Publisher)
	s.events.Record(timeline.Event{Kind: timeline.ConfigActivated, Config: stored.Number, Detail: shortHash(stored.Hash)})
	hash, _ := hex.DecodeString(stored.Hash)
	n := notice{Number: stored.Number, Hash: hash}
	s.out = append(s.out, func() {
		for _, id := range s.overlay.Neighbours() {
			_ = s.msgr.Notify(id, kindNotice, n)
		}
	})
}
