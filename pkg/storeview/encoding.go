package storeview

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
	"slices"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/delta"
	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/peer"
)

const (
	// maxSpecBytes bounds an object that another node sends; the store's objects have
	// 1 MB at most.
	maxSpecBytes = 1 << 20
	// maxUnpackedBytes bounds the changes that another node sends in compressed form.
	maxUnpackedBytes = 8 << 20
	// packedListLength is the number of changes that are encoded together.
	packedListLength = 256
)

// patchChanges encodes the changes of a configuration as one difference from base,
// the object before them. It returns nil if that is not possible: the receivers
// then fetch the configuration.
func patchChanges(base Object, changes []Change) []NoticeChange {
	last := changes[len(changes)-1]
	for _, c := range changes {
		if c.Deleted || c.Object.Name != base.Name {
			return nil
		}
	}
	out := noticeChanges([]Change{last})
	out[0].Spec = nil
	out[0].Patch, out[0].Base = delta.Diff(base.Spec, last.Object.Spec), base.Revision
	return out
}

// packChanges encodes changes in compressed form: lists of packedListLength changes,
// each behind its length, since messages between nodes are bounded.
func packChanges(changes []NoticeChange) ([]byte, error) {
	var packed bytes.Buffer
	w, _ := flate.NewWriter(&packed, flate.BestSpeed) // The level is valid.
	for list := range slices.Chunk(changes, packedListLength) {
		raw, err := peer.Encode(list)
		if err != nil {
			return nil, err
		}
		_, _ = w.Write(binary.BigEndian.AppendUint32(nil, uint32(len(raw)))) // Writes to a bytes.Buffer do not fail.
		_, _ = w.Write(raw)
	}
	_ = w.Close()
	return packed.Bytes(), nil
}

// unpackChanges decodes the result of packChanges.
func unpackChanges(packed []byte) (changes []NoticeChange, err error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes))
	for err == nil && len(raw) > 0 {
		var list []NoticeChange
		if raw, err = decodeList(raw, &list); err == nil {
			changes = append(changes, list...)
		}
	}
	return changes, err
}

var errListCut = errors.New("a list of changes is cut off")

// decodeList decodes the first list and returns the bytes behind it.
func decodeList(raw []byte, list *[]NoticeChange) (rest []byte, err error) {
	const prefix = 4
	if len(raw) < prefix {
		return nil, errListCut
	}
	length, rest := binary.BigEndian.Uint32(raw), raw[prefix:]
	if uint64(length) > uint64(len(rest)) {
		return nil, errListCut
	}
	return rest[length:], peer.Decode(rest[:length], list)
}

// unpack restores Changes and Complete of a notice with Packed. A malformed one counts
// as without changes, so they are fetched.
func (n *Notice) unpack() {
	if len(n.Packed) == 0 {
		return
	}
	if changes, err := unpackChanges(n.Packed); err == nil {
		n.Changes, n.Complete = changes, true
	}
}

// expand restores the objects of a notice that are sent as differences. It returns
// false if the store must be called instead.
func (f *follower) expand(n *Notice) bool {
	s := f.service
	base := s.currentConfig()
	n.Changes = slices.Clone(n.Changes)
	for i := range n.Changes {
		c := &n.Changes[i]
		var err error
		switch {
		case len(c.Patch) > 0 && (c.Base != base.Revision || c.Name != base.Name):
			return false // This node has another configuration than the sender had.
		case len(c.Patch) > 0:
			c.Spec, err = delta.Apply(base.Spec, c.Patch, maxSpecBytes)
		}
		if err != nil {
			s.log.Warn(eventlog.ObjectRefused, "kind", f.kind.String(), "object", c.Name, "revision", c.Revision, "error", err.Error())
			return false
		}
	}
	return true
}

// currentConfig returns the store's newest configuration that could be decoded.
func (s *Service) currentConfig() Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}
