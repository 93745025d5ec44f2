package distribution

import (
	"context"
	"testing"
	"time"

	"cassiapin/pkg/config"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/peer/memnet"
)

// Guards against an accepted value that is rejected after it is encoded again, and
// against compression that changes a value.
func FuzzDecodeStored(f *testing.F) {
	f.Add(encodedConfig(f, 1, "a", 2))
	f.Add([]byte(`{"number":1,"hash":"","declarations":{}}`))
	f.Add([]byte(`{"number":18446744073709551615}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := DecodeStored(raw)
		if err != nil {
			return
		}
		again, err := EncodeStored(s)
		if err != nil {
			return
		}
		if _, err := DecodeStored(again); err != nil {
			t.Fatalf("value rejected after encoding it again: %v", err)
		}
		if unpacked, err := decompress(compress(raw)); err != nil || string(unpacked) != string(raw) {
			t.Fatalf("value changed by compression: %v", err)
		}
	})
}

// Guards against malformed messages that cause a panic, decrease the active
// configuration number, or activate invalid marks.
func FuzzMessages(f *testing.F) {
	raw := encodedConfig(f, 2, "a", 2)
	mark := config.Marks{config.DomainKey("x"): {State: config.MarkOut, Node: "n"}}
	for i, seed := range []any{
		notice{Number: 3, Hash: make([]byte, 32)}, confirmation{Number: 3}, marksMessage{Marks: mark},
		marksMessage{Marks: mark, Reply: true}, fetchRequest{Number: 1},
		fetchResponse{Number: 2, Compressed: compress(raw)}, probePayload{Number: 9, Marks: 1, FreshMS: 4},
	} {
		b, err := peer.Encode(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(i), b)
	}
	kinds := []peer.Kind{kindNotice, kindConfirmation, kindMarks, kindRepair, kindFetch}
	f.Fuzz(func(t *testing.T, which uint8, body []byte) {
		fl := newFleet(t, memnet.Options{Seed: 1})
		n := fl.add()
		now := fl.net.Clock().Now()
		n.accept(now, encodedConfig(t, 1, "a", 1), true)
		switch i := int(which) % (len(kinds) + 2); i {
		case len(kinds):
			n.locked(func(now time.Time) { n.acceptFetched(now, body) })
		case len(kinds) + 1:
			n.ObserveProbe("other", body)
		default:
			n.receive(kinds[i], body)
		}
		if n.number() < 1 {
			t.Fatal("the active configuration number decreased")
		}
		for key, m := range n.Marks() {
			if !validMark(key, m) {
				t.Fatalf("invalid mark is active: %q %+v", key, m)
			}
		}
	})
}

// receive delivers one message from another node.
func (n *node) receive(kind peer.Kind, body []byte) {
	_, _ = handlerFor(n.Service, kind)(context.Background(), "other", body)
}

func handlerFor(s *Service, kind peer.Kind) peer.Handler {
	return map[peer.Kind]peer.Handler{
		kindNotice: peer.LockedHandler(s.locked, s.onNotice), kindConfirmation: peer.LockedHandler(s.locked, s.onConfirmation),
		kindMarks: peer.LockedHandler(s.locked, s.onMarks), kindRepair: peer.LockedHandler(s.locked, s.onRepair), kindFetch: s.onFetch,
	}[kind]
}
