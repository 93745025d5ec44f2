package storeview

import (
	"testing"
	"time"

	"cassiapin/pkg/topology"
)

// TestReadersRejected guards against nodes that the store rejects together with all
// readers, and that have a configuration, which no notice announces, only when the store
// takes them again. They ask others at a bounded rate, and get no copy of what they have.
func TestReadersRejected(t *testing.T) {
	store := newFakeStore()
	h := &hub{}
	sound := startWith(t, &client{fakeStore: store}, h.join(Readers))
	waitFor(t, sound, 1, time.Second)
	ranks := []int{0, Readers, Readers}
	clients, peers, services := make([]*client, len(ranks)), make([]*hubPeer, len(ranks)), make([]*Service, len(ranks))
	for i, rank := range ranks {
		clients[i], peers[i] = &client{fakeStore: store}, h.join(rank)
		services[i] = startWith(t, clients[i], peers[i])
		waitFor(t, services[i], 1, time.Second)
	}
	peers[2].alone.Store(true) // It depends on what the reader has from another node.
	time.Sleep(effectiveIn)
	for _, c := range clients {
		c.unavailable.Store(true)
	}
	time.Sleep(effectiveIn) // The open watches are over.
	past, known := h.join(1), Notice{Known: []KnownRevision{{Kind: Configurations, Revision: 1, Changed: 1}}}
	const rounds = 2
	began := time.Now()
	for version := topology.Revision(10); version <= 10*rounds; version += 10 {
		store.set(func() { store.version, store.others = version, 0 })
		for _, s := range append(services, sound) {
			waitFor(t, s, uint64(version), 2*effectiveIn)
		}
		time.Sleep(effectiveIn)
		for range noticeQueue / 2 { // Notices from before don't make a node ask more often.
			_ = past.Publish(known)
		}
		store.set(func() { store.others++ }) // The sound node's calls reveal a later revision.
		time.Sleep(effectiveIn)
	}
	most := int64(time.Since(began).Seconds()/(unannouncedShare*effectiveIn.Seconds())) + rounds
	for i, p := range peers {
		if n := p.queries.Load(); n > most {
			t.Errorf("node %d: %d queries, want at most %d", i, n, most)
		}
		if n := p.copies.Load(); n > rounds {
			t.Errorf("node %d: %d copies of %d configurations", i, n, rounds)
		}
	}
}

// TestPassedOnAge guards against a node that calls the store late because it takes changes
// that a reader has from another node for as new as the notice.
func TestPassedOnAge(t *testing.T) {
	s, f := newFollower(t, newMuteStore())
	f.from, f.reported = 10, time.Time{}
	s.receive(Notice{Kind: Configurations, From: 10, To: 12, AgeMS: 1000, Complete: true, Changes: []NoticeChange{{Name: "main", Revision: 11}}})
	if !f.applyNotice(<-s.notices[Configurations]) || f.from != 12 {
		t.Fatalf("not applied, at revision %d", f.from)
	}
	if age := time.Since(f.reported); age < time.Second {
		t.Errorf("the state counts as %s old, want a second", age)
	}
}
