package peer

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"cassiapin/pkg/result"
)

// Guards against messages that make the decoder use unbounded memory or stack,
// and against encodings outside the deterministic subset.
func TestDecodeLimits(t *testing.T) {
	cases := map[string][]byte{
		"nesting":           append(bytes.Repeat([]byte{0x81}, maxNesting+1), 0x00),
		"huge array header": {0x9b, 0, 0, 0, 1, 0, 0, 0, 0},
		"huge map header":   {0xbb, 0, 0, 0, 1, 0, 0, 0, 0},
		"huge byte string":  {0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"indefinite length": {0x9f, 0x01, 0xff},
		"tag":               {0xc1, 0x00},
		"duplicate key":     {0xa2, 0x01, 0x00, 0x01, 0x00},
		"trailing bytes":    {0x01, 0x02},
		"too long":          make([]byte, MaxMessageBytes+1),
	}
	for name, raw := range cases {
		var v any
		if err := Decode(raw, &v); result.CodeOf(err) != result.BadMessage {
			t.Errorf("%s: got %v, want code %d", name, err, result.BadMessage)
		}
	}
}

// Guards against a filter that grows without bound, or that passes a duplicate
// of one of the latest maxFloodIDs/2 messages.
func TestDuplicateFilter(t *testing.T) {
	var f duplicateFilter
	for seq := range uint64(5 * maxFloodIDs) {
		if !f.add(floodID{"a", seq}) {
			t.Fatalf("new message %d reported as a duplicate", seq)
		}
		if seq >= maxFloodIDs/2 && f.add(floodID{"a", seq - maxFloodIDs/2}) {
			t.Fatalf("duplicate of message %d passed the filter", seq-maxFloodIDs/2)
		}
	}
	if n := len(f.current) + len(f.previous); n > 2*maxFloodIDs {
		t.Fatalf("the filter stores %d ids", n)
	}
}

// Guards against malformed envelopes and responses that cause a panic.
func FuzzReceive(f *testing.F) {
	plain, _ := EncodeMessage("k", map[string]int{"a": 1})
	flood, _ := Encode(Envelope{Kind: "k", Body: []byte{0xf6}, Origin: "o", Seq: 7})
	answer, _ := Encode(Response{Err: &RemoteError{Code: 101, Run: "not_run", Message: "m"}})
	for _, seed := range [][]byte{plain, flood, answer, {0xa0}, nil} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := NewRouter("self", nil, func(NodeID, Kind, []byte) error { return nil }, func(time.Duration, func()) {})
		r.Handle("k", func(_ context.Context, _ NodeID, body []byte) (any, error) {
			var v any
			return v, Decode(body, &v)
		})
		if _, err := DecodeResponse(r.Serve(context.Background(), "peer", raw), "peer", "k"); err != nil {
			_ = fmt.Sprint(err)
		}
		_, _ = DecodeResponse(raw, "peer", "k")
		var h hello
		_ = Decode(raw, &h)
	})
}
