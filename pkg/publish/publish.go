// Package publish stores validated declarations as the next numbered
// configuration in the platform's object store.
package publish

import (
	"context"
	"encoding/json"
	"time"

	"cassiapin/pkg/config"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/result"
)

// Key is the object key of the configuration in force.
const Key = "config/current"

// Record is the value of the configuration object.
type Record struct {
	Number       uint64              `json:"number"`
	Hash         string              `json:"hash"`
	PublishedAt  time.Time           `json:"published_at"`
	Publisher    string              `json:"publisher"`
	Declarations config.Declarations `json:"declarations"`
}

// Options are the details of one publication.
type Options struct {
	// Publisher names the operator or the pipeline.
	Publisher string
	// Expect is the number of the configuration that the declarations are based
	// on; 0 accepts any.
	Expect uint64
	// Now is the time of the publication.
	Now time.Time
}

// Publish stores the declarations as the successor of the current
// configuration. When several operators publish concurrently, exactly one
// succeeds; the others get result.PublishConflict and write nothing.
func Publish(ctx context.Context, store objectstore.Store, d config.Declarations, o Options) (Record, error) {
	current, object, err := Read(ctx, store)
	if err != nil {
		return Record{}, err
	}
	if o.Expect != 0 && o.Expect != current.Number {
		return Record{}, result.New(result.PublishConflict,
			"configuration %d is in force, but the declarations are based on %d", current.Number, o.Expect)
	}
	hash, err := config.Hash(d)
	if err != nil {
		return Record{}, err
	}
	next := Record{
		Number: current.Number + 1, Hash: hash, PublishedAt: o.Now.UTC(), Publisher: o.Publisher, Declarations: d,
	}
	value, err := json.Marshal(next)
	if err != nil {
		return Record{}, err
	}
	if object == nil {
		_, err = store.Create(ctx, Key, value)
	} else {
		_, err = store.Update(ctx, Key, value, object.Version)
	}
	if result.CodeOf(err) == result.ObjectConflict {
		return Record{}, result.Wrap(err, result.PublishConflict, result.NotRun, "another operator published first; nothing was written")
	}
	if err != nil {
		return Record{}, err
	}
	return next, nil
}

// Read returns the stored configuration and its object. The object is nil if no
// configuration has been published yet.
func Read(ctx context.Context, store objectstore.Store) (Record, *objectstore.Object, error) {
	object, err := store.Get(ctx, Key)
	if result.CodeOf(err) == result.ObjectNotFound {
		return Record{}, nil, nil
	}
	if err != nil {
		return Record{}, nil, err
	}
	var record Record
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return Record{}, nil, result.Wrap(err, result.SnapshotRefused, result.NotRun, "the stored configuration cannot be read")
	}
	return record, &object, nil
}
