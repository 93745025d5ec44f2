// Package objectstore is the client of the platform's object API: versioned
// objects with conditional updates and watches.
package objectstore

import "context"

// MaxObjectBytes is the platform's limit for one value.
const MaxObjectBytes = 1 << 20

// Object is one versioned value.
type Object struct {
	Key   string
	Value []byte
	// Version changes with every write of the object. It increases across the
	// whole store, so it also orders the objects of a watch.
	Version uint64
	// Deleted marks a deletion in a watch.
	Deleted bool
}

// Store is the platform's object API.
//
// Errors carry the codes result.ObjectNotFound, ObjectConflict (another
// version, or the key exists), ObjectTooLarge, PlatformLimited and
// PlatformUnavailable. With PlatformUnavailable the run state says whether a
// write may have taken effect: not_run means that it certainly did not, unknown
// that it may have. After a lost response, implementations read the object back
// before they report unknown.
type Store interface {
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects with the prefix in key order.
	// It loads all values into memory, so it is meant for small sets only.
	List(ctx context.Context, prefix string) ([]Object, error)
	// ListPage returns up to limit objects with the prefix whose key is greater
	// than after, in key order, and the key to continue after, which is empty at
	// the end. The platform ends a page early to bound the total size of its
	// values. Pages are not a consistent snapshot: an object that is written
	// between two calls may or may not be included.
	ListPage(ctx context.Context, prefix, after string, limit int) (page []Object, next string, err error)
	// Create writes a new object.
	Create(ctx context.Context, key string, value []byte) (Object, error)
	// Update replaces the value if the object still has the given version.
	Update(ctx context.Context, key string, value []byte, version uint64) (Object, error)
	// Delete removes the object if it still has the given version.
	Delete(ctx context.Context, key string, version uint64) error
	// Watch sends the objects under prefix that change after the given
	// version, until ctx ends; then the channel is closed. It reconnects by
	// itself; if changes are no longer available, it sends the current state of
	// every object.
	Watch(ctx context.Context, prefix string, after uint64) (<-chan Object, error)
}

// PageObjects is the default limit of ListPage. The platform bounds the size of
// a page in bytes, so it only matters for small values.
const PageObjects = 1000

// Each calls fn for every object with the prefix in key order. It keeps one page
// in memory at a time and stops at the first error.
func Each(ctx context.Context, s Store, prefix string, fn func(Object) error) error {
	for after := ""; ; {
		page, next, err := s.ListPage(ctx, prefix, after, PageObjects)
		if err != nil {
			return err
		}
		for _, o := range page {
			if err := fn(o); err != nil {
				return err
			}
		}
		if next == "" {
			return nil
		}
		after = next
	}
}

// ServiceName is the name of a node's Store in the kernel.
const ServiceName = "platform.store"
