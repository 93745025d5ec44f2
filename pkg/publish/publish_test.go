package publish

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/objectstore/memstore"
	"cassiapin/pkg/result"
)

// Guards against concurrent publications that succeed with the same number, and
// against numbers that are skipped or decrease.
func TestConcurrentPublishesGetDistinctNumbers(t *testing.T) {
	ctx := context.Background()
	store := memstore.New(clock.Real{})
	const operators, rounds = 4, 10
	var mu sync.Mutex
	numbers := make(map[uint64]string)
	conflicts := 0
	for range rounds {
		var wait sync.WaitGroup
		for i := range operators {
			wait.Add(1)
			go func() {
				defer wait.Done()
				name := fmt.Sprint("operator ", i)
				stored, err := Publish(ctx, store.Client(), config.Declarations{}, Options{Publisher: name, Now: time.Unix(1000, 0)})
				mu.Lock()
				defer mu.Unlock()
				switch {
				case result.CodeOf(err) == result.PublishConflict:
					conflicts++
				case err != nil:
					t.Error(err)
				case numbers[stored.Number] != "":
					t.Errorf("number %d was published by %s and %s", stored.Number, numbers[stored.Number], name)
				default:
					numbers[stored.Number] = name
				}
			}()
		}
		wait.Wait()
	}
	current, _, err := Read(ctx, store.Client())
	if err != nil || current.Number != uint64(len(numbers)) || len(numbers)+conflicts != operators*rounds {
		t.Errorf("number %d in force after %d publications and %d conflicts, %v", current.Number, len(numbers), conflicts, err)
	}
}

// Guards against overwriting a configuration that is newer than the one the
// declarations are based on.
func TestOutdatedBaseIsRefused(t *testing.T) {
	ctx := context.Background()
	store := memstore.New(clock.Real{}).Client()
	for want := uint64(1); want <= 2; want++ {
		if stored, err := Publish(ctx, store, config.Declarations{}, Options{Expect: want - 1}); err != nil || stored.Number != want {
			t.Fatalf("got %d, %v", stored.Number, err)
		}
	}
	if _, err := Publish(ctx, store, config.Declarations{}, Options{Expect: 1}); result.CodeOf(err) != result.PublishConflict {
		t.Errorf("got %v", err)
	}
}
