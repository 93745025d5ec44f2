package storeview

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/topology"
)

// proof is a time, on the clock of pauses, at which a node's view of a kind had all
// changes that the store had made. Delays only make it earlier: a read of the objects
// proves the time of its start, and another node's proof counts back from the time at
// which that node was asked. The followers' watches prove nothing, as they may miss
// changes. The time that a message was on its way, or a notice waited in a queue, is
// unknown to its receiver, so notices prove nothing.
type proof struct {
	at     time.Duration
	source source
}

// source is what a proof is from, for logs; empty is none.
type source string

const (
	sourceList  source = "list"
	sourceRead  source = "read"
	sourceReply source = "reply"
)

const (
	// proofQueryTimeout bounds the query of a proof. It leaves a denied request time
	// for a call of the store.
	proofQueryTimeout = 250 * time.Millisecond
	// proofAnswerTime is how long the queried node may read the store for its answer; the
	// rest of proofQueryTimeout is for the way.
	proofAnswerTime = 200 * time.Millisecond
	// proofWatchTimeout bounds the watch that proves a large configuration.
	proofWatchTimeout = 1500 * time.Millisecond
	// renewShare is the age of a proof, as a fraction of Options.EffectiveIn, from which
	// a denial that rests on it requests the next one.
	renewShare = 0.5
	// proofPoll is the longest pause between two looks at the view by a request that
	// awaits a proof.
	proofPoll = 10 * time.Millisecond
)

var (
	errNotProven     = errors.New("the state is not proven")
	errCallRequested = errors.New("a call without a wait is requested")
)

// Current reports whether the view of a kind includes all changes that must have taken
// effect: it was proven to be the newest within the bound, no node has announced a
// later state, and this node could decode it. A view that is not current proves
// nothing about what does not exist.
func (s *Service) Current(kind Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.proofs[kind]
	return p.source != "" && s.pauses.now()-p.at < s.opts.EffectiveIn[kind] &&
		!s.announced[kind].After(s.latestProgress[kind].from) && (kind != Configurations || s.configCurrentLocked())
}

// configCurrentLocked reports whether no later configuration is known of than the one in
// force, also by other nodes. The caller holds the lock.
func (s *Service) configCurrentLocked() bool {
	return s.undecoded.IsZero() && s.compared.Load() && !s.missesHeldLocked()
}

// AwaitCurrent waits until the view of a kind is current, at most for the given time,
// and reports whether it is. It requests a proof if there is none, and ahead of the time
// at which there would be none, so that few requests wait and a store that stops answering
// finds recent proofs.
func (s *Service) AwaitCurrent(ctx context.Context, kind Kind, limit time.Duration) bool {
	until := s.clock.Now().Add(limit)
	for !s.Current(kind) {
		s.requestProof(kind)
		if !s.clock.Now().Before(until) || s.clock.Sleep(ctx, proofPoll) != nil {
			return false
		}
	}
	if s.proofOlder(kind, renewShare) {
		s.requestProof(kind)
	}
	return true
}

func (s *Service) requestProof(kind Kind) {
	select {
	case s.proofRequests <- kind:
	default: // Others request proofs too.
	}
}

// proofOlder reports whether the latest proof of a kind is older than a share of the time
// in which a change must take effect.
func (s *Service) proofOlder(kind Kind, share float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proofOlderLocked(kind, share)
}

// proofOlderLocked is proofOlder for callers that hold the lock.
func (s *Service) proofOlderLocked(kind Kind, share float64) bool {
	return s.pauses.now()-s.proofs[kind].at > time.Duration(share*float64(s.opts.EffectiveIn[kind]))
}

// reporter is the node whose notices last reported a kind's state as the newest, and
// that time by its account. It reads the store, so it is likely to have a proof.
type reporter struct {
	node string
	at   time.Duration
}

// noteReporter records the sender of a notice of known revisions.
func (s *Service) noteReporter(sender string, k KnownRevision) {
	if sender == "" || k.Kind < Configurations || k.Kind > Evacuations {
		return
	}
	at := s.pauses.now() - messageAge(k.AgeMS)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := &s.reporters[k.Kind]; at > r.at {
		*r = reporter{sender, at}
	}
}

// dropReporter forgets a reporter that gave no proof, until the next notice.
func (s *Service) dropReporter(kind Kind, r reporter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reporters[kind] == r {
		s.reporters[kind] = reporter{}
	}
}

// proveLoop gets the proofs that requests await, from the node that reports the state
// or else by a read of the store.
func (s *Service) proveLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case kind := <-s.proofRequests:
			if s.Current(kind) && !s.proofOlder(kind, renewShare) {
				continue
			}
			if !s.queryReporter(ctx, kind) && !s.Current(kind) {
				select {
				case s.readRequests <- kind:
				default: // Requested already.
				}
			}
			if s.clock.Sleep(ctx, s.coalesce(kind)) != nil {
				return
			}
		}
	}
}

// readLoop reads the kinds of which a proof is awaited and no other node has one.
func (s *Service) readLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case kind := <-s.readRequests:
			if s.proofOlder(kind, readShare) && !s.listRequested[kind].Load() {
				s.proveByRead(ctx, kind)
				if s.clock.Sleep(ctx, s.coalesce(kind)) != nil {
					return
				}
			}
		}
	}
}

// proveByRead proves the view of a kind by one read of its objects, whatever watches have
// missed. If the store has other objects, the follower is told to list them. While the
// store doesn't answer, the followers' backoff holds.
func (s *Service) proveByRead(ctx context.Context, kind Kind) {
	if s.unprovable(kind) {
		return
	}
	if wait, _ := s.backoff.claim(s.clock.Now()); wait > 0 {
		return
	}
	began := s.pauses.now()
	same, err := s.sameObjects(ctx, kind)
	if err != nil {
		return
	}
	s.backoff.recovered()
	if same {
		s.prove(kind, began, sourceRead)
		return
	}
	s.requestList(kind)
}

// unprovable reports whether a read can prove nothing: another node has announced a later
// state of a kind, which the follower fetches, or the store lacks what is in force.
func (s *Service) unprovable(kind Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announced[kind].After(s.latestProgress[kind].from) || kind == Configurations && s.aheadLocked()
}

// sameObjects reports whether the store has the objects of a kind that this node has.
func (s *Service) sameObjects(ctx context.Context, kind Kind) (bool, error) {
	s.mu.Lock()
	from := s.latestProgress[kind].from
	s.mu.Unlock()
	if kind == Configurations && !s.smallConfig() {
		// A large one is not sent again. It is one object, so a look at the changes after
		// from, up to which all are known, tells whether it is the newest.
		changes, revision, err := s.opts.Store.Watch(ctx, kind, from, time.Millisecond, proofWatchTimeout)
		if errors.Is(err, ErrHistoryLost) {
			return false, nil
		}
		if err == nil {
			err = s.noteAnswer(revision)
		}
		return len(changes) == 0, err
	}
	objects, revision, err := s.opts.Store.List(ctx, kind)
	if err == nil {
		err = s.noteAnswer(revision)
	}
	if err != nil {
		return false, err
	}
	digest := newDigest(objects, revision.Era).value()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digests[kind].value() == digest, nil
}

// queryReporter asks the node that reports the state for a proof, or for the state that
// this node lacks. It returns false if the store has to be called.
func (s *Service) queryReporter(ctx context.Context, kind Kind) bool {
	s.mu.Lock()
	reporter := s.reporters[kind]
	q := s.queryLocked(kind)
	q.Prove, q.Digest, q.WaitMS = true, s.digestLocked(kind), proofAnswerTime.Milliseconds()
	s.mu.Unlock()
	asked := s.pauses.now()
	if reporter.node == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, proofQueryTimeout)
	defer cancel()
	r, err := s.opts.Peers.QueryNode(ctx, reporter.node, q)
	if err != nil || r.Notice.Kind != kind {
		s.dropReporter(kind, reporter)
		return false
	}
	if s.adopt(r.Notice) {
		return true
	}
	if n := r.Notice; len(n.Packed) > 0 || len(n.Changes) > 0 {
		n.stateAt = s.replyStateAt(asked, r)
		s.queue(n)
		return true
	}
	return s.proveByReply(kind, asked, r)
}

// proofFor answers a query for a proof: with this node's own if both have the same
// objects, else with the newest configuration.
func (s *Service) proofFor(q Query) (Reply, error) {
	if q.Kind < Configurations || q.Kind > Evacuations {
		return Reply{}, errNotProven
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.latestProgress[q.Kind]
	if q.Digest == 0 || q.Digest != s.digestLocked(q.Kind) {
		return s.newestLocked(q)
	}
	if s.proofOlderLocked(q.Kind, readShare) {
		select {
		case s.readRequests <- q.Kind: // One read serves all nodes that ask.
		default:
		}
	}
	provenMS := s.provenMS(q.Kind)
	if provenMS == 0 || provenMS >= s.opts.EffectiveIn[q.Kind].Milliseconds() {
		return Reply{}, errNotProven
	}
	return Reply{Notice: Notice{Kind: q.Kind, From: known.changed, To: known.from}, ProvenMS: provenMS}, nil
}

// provenMS returns the age of the proof for a Reply. The caller holds the lock.
func (s *Service) provenMS(kind Kind) int64 {
	p := s.proofs[kind]
	// A proof of a configuration that the store has lost is none of the store's.
	if p.source == "" || kind == Configurations && (!s.configCurrentLocked() || s.aheadLocked()) {
		return 0
	}
	return (s.pauses.now() - p.at).Milliseconds() + 1
}

// proveByReply records another node's proof of the state that this node has. It returns
// false if the reply has none.
func (s *Service) proveByReply(kind Kind, asked time.Duration, r Reply) bool {
	if r.ProvenMS <= 0 {
		return false
	}
	s.prove(kind, asked-time.Duration(r.ProvenMS)*time.Millisecond, sourceReply)
	return true
}

// prove records a proof. An earlier one has no effect.
func (s *Service) prove(kind Kind, at time.Duration, by source) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind == Configurations && s.aheadLocked() {
		return // The store has lost what is in force, and maybe more.
	}
	if p := &s.proofs[kind]; p.source == "" || at > p.at {
		*p = proof{at, by}
	}
}

// noteDecoded records whether the newest configuration could be decoded. The caller
// holds the lock.
func (s *Service) noteDecoded(kind Kind, c Change, decoded bool) {
	switch {
	case kind != Configurations || c.Deleted:
	case !decoded:
		s.undecoded = topology.Latest(s.undecoded, c.Object.Revision)
	case !c.Object.Revision.Before(s.undecoded):
		s.undecoded = topology.Revision{}
	}
}

// cancelOnRequest returns a context that ends with errCallRequested when a call without
// a wait is requested.
func (s *Service) cancelOnRequest(ctx context.Context, kind Kind) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-ctx.Done():
		case <-s.callRequests[kind]:
			cancel(errCallRequested)
		}
	}()
	return ctx, func() { cancel(nil) }
}

// dropCallRequest drops a request that the next call serves.
func (s *Service) dropCallRequest(kind Kind) {
	select {
	case <-s.callRequests[kind]:
	default:
	}
}

// Confirmation is what a node's view of a kind rests on.
type Confirmation struct {
	// Source is "list" or "read" for a call of the store, "reply" for the proof of
	// another node, and empty before the first.
	Source string
	// Age is the time for which changes may have been missed, -1 before the first
	// proof.
	Age time.Duration
	// Revision is the store's revision up to which all changes are known, and
	// Announced the latest one that another node has announced without its changes.
	Revision, Announced topology.Revision
	// InForce is the revision of the configuration in force, and StoreVersion the version
	// that the store has; they tell of different ones if the store has lost the former.
	InForce      topology.Revision
	StoreVersion uint64
	// Rank is this node's position among the readers of the store.
	Rank int
}

// Confirmation returns what the view of a kind rests on.
func (s *Service) Confirmation(kind Kind) Confirmation {
	rank := s.rank()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.proofs[kind]
	c := Confirmation{
		Source: string(p.source), Age: -1, Revision: s.latestProgress[kind].from,
		Announced: s.announced[kind], Rank: rank, InForce: s.inForce.Revision, StoreVersion: s.storeVersion,
	}
	if p.source != "" {
		c.Age = s.pauses.now() - p.at
	}
	return c
}
