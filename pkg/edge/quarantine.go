package edge

import (
	"context"
	"encoding/json"
	"strconv"

	"cassiapin/pkg/hashing"
	"cassiapin/pkg/quarantine"
	"cassiapin/pkg/result"
	"cassiapin/pkg/storeview"
	"cassiapin/pkg/topology"
	"cassiapin/platform"
)

// quarantineStore implements quarantine.Store. Objects are named by a hash of the
// part, whose id may have characters that a name may not.
type quarantineStore struct{ store *platform.Store }

func partName(part string) string { return strconv.FormatUint(hashing.Hash(part), 16) }

// List implements quarantine.Store. Objects that cannot be decoded hold back
// nothing.
func (q quarantineStore) List(ctx context.Context) ([]quarantine.StoredPart, error) {
	objects, err := q.store.ListStale(ctx, storeview.QuarantinedParts)
	if err != nil {
		return nil, err
	}
	var parts []quarantine.StoredPart
	for _, o := range objects {
		var p quarantine.StoredPart
		if !o.Deleting && json.Unmarshal(o.Spec, &p) == nil {
			parts = append(parts, p)
		}
	}
	return parts, nil
}

// Put implements quarantine.Store.
func (q quarantineStore) Put(ctx context.Context, p quarantine.StoredPart) error {
	return q.store.Put(ctx, storeview.QuarantinedParts, partName(p.Part), p)
}

// Delete implements quarantine.Store. Another node may have deleted the object.
func (q quarantineStore) Delete(ctx context.Context, part string) error {
	err := q.store.Delete(ctx, storeview.QuarantinedParts, partName(part), topology.Revision{})
	if result.CodeOf(err) == result.ObjectNotFound {
		return nil
	}
	return err
}

// Era implements quarantine.Store.
func (q quarantineStore) Era() uint64 { return q.store.Revealed().Era }
