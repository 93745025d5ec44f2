package storeview

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/delta"
	"cassiapin/pkg/eventlog"
)

// maxSpecBytes bounds an object that another node sends; the store's objects have
// 1 MB at most.
const maxSpecBytes = 1 << 20

var errSpecTooLarge = errors.New("the object is larger than any of the store")

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

// packChanges encodes changes with compressed objects.
func packChanges(changes []Change) []NoticeChange {
	out := noticeChanges(changes)
	for i := range out {
		out[i].Spec, out[i].Packed = nil, pack(out[i].Spec)
	}
	return out
}

func pack(raw []byte) []byte {
	var packed bytes.Buffer
	w, _ := flate.NewWriter(&packed, flate.BestSpeed) // The level is valid.
	_, _ = w.Write(raw)                               // Writes to a bytes.Buffer do not fail.
	_ = w.Close()
	return packed.Bytes()
}

// expand restores the objects of a notice that are sent as differences or in
// compressed form. It returns false if the store must be called instead.
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
		case len(c.Packed) > 0:
			c.Spec, err = unpack(c.Packed)
		}
		if err != nil {
			s.log.Warn(eventlog.ObjectRefused, "kind", f.kind.String(), "object", c.Name, "revision", c.Revision, "error", err.Error())
			return false
		}
	}
	return true
}

func unpack(packed []byte) ([]byte, error) {
	spec, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxSpecBytes+1))
	if err == nil && len(spec) > maxSpecBytes {
		err = errSpecTooLarge
	}
	return spec, err
}

// currentConfig returns the object of the configuration in force.
func (s *Service) currentConfig() Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}
