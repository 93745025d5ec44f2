package objectstore_test

import (
	"context"
	"fmt"
	"math/rand"
	"testing"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/objectstore/memstore"
	"cassiapin/pkg/standin/objectapi"
)

// Guards against pages that lose or repeat objects, exceed the size limit, never
// end, or include other prefixes or deleted objects, both with the HTTP client
// and with memstore.
func TestPagesAreBoundedAndComplete(t *testing.T) {
	ctx := context.Background()
	api := objectapi.New(objectapi.Options{WritesPerSecond: 1e6, ReadsPerSecond: 1e6})
	url, stop, err := api.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	client, err := objectstore.New(objectstore.Options{BaseURLs: []string{url}, ReadsPerSecond: 1e6, WritesPerSecond: 1e6})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Cleanup()
	for name, store := range map[string]objectstore.Store{"client": client, "memstore": memstore.New(clock.Real{}).Client()} {
		rng, want := rand.New(rand.NewSource(1)), []string{}
		for i := range 60 {
			key := fmt.Sprintf("bills/2026 12&/%02d", i)
			o, err := store.Create(ctx, key, make([]byte, rng.Intn(objectstore.MaxValueBytes/(1+i%5))))
			if err == nil && i%7 == 0 {
				err = store.Delete(ctx, key, o.Version)
			} else {
				want = append(want, key)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		if _, err := store.Create(ctx, "bills/2027", nil); err != nil {
			t.Fatal(err)
		}
		got, after := []string{}, ""
		for pages := 0; ; pages++ {
			page, next, err := store.ListPage(ctx, "bills/2026 12&/", after, 4)
			if err != nil || pages > len(want) {
				t.Fatalf("%s: page %d: %v", name, pages, err)
			}
			bytes := 0
			for _, o := range page {
				got, bytes = append(got, o.Key), bytes+len(o.Value)
			}
			if len(page) > 4 || bytes > objectstore.MaxObjectBytes {
				t.Fatalf("%s: a page of %d objects and %d bytes", name, len(page), bytes)
			}
			if after = next; next == "" {
				break
			}
		}
		each := []string{}
		err := objectstore.Each(ctx, store, "bills/2026 12&/", func(o objectstore.Object) error {
			each = append(each, o.Key)
			return nil
		})
		if fmt.Sprint(got) != fmt.Sprint(want) || fmt.Sprint(each) != fmt.Sprint(want) || err != nil {
			t.Fatalf("%s: pages give %v, Each gives %v, want %v; %v", name, got, each, want, err)
		}
	}
}
