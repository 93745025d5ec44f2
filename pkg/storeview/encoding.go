package storeview

import (
	"bytes"
	"compress/flate"
	"io"

	"cassiapin/pkg/delta"
	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/peer"
)

const (
	// maxSpecBytes bounds an object that another node sends; the store's objects have
	// 1 MB at most.
	maxSpecBytes = 1 << 20
	// maxUnpackedBytes bounds the changes that another node sends in compressed form.
	maxUnpackedBytes = 4 << 20
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

// packChanges encodes changes in compressed form.
func packChanges(changes []NoticeChange) ([]byte, error) {
	raw, err := peer.Encode(changes)
	if err != nil {
		return nil, err
	}
	var packed bytes.Buffer
	w, _ := flate.NewWriter(&packed, flate.BestSpeed) // The level is valid.
	_, _ = w.Write(raw)                               // Writes to a bytes.Buffer do not fail.
	_ = w.Close()
	return packed.Bytes(), nil
}

// unpackChanges decodes the result of packChanges.
func unpackChanges(packed []byte) (changes []NoticeChange, err error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes))
	if err != nil {
		return nil, err
	}
	return changes, peer.Decode(raw, &changes)
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

// currentConfig returns the object of the configuration in force.
func (s *Service) currentConfig() Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}
