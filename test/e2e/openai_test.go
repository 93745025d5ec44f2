// Package e2e tests complete nodes over loopback with third-party clients.
package e2e

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"cassiapin/pkg/bench"
	"cassiapin/pkg/workload"
)

// startFleet starts two nodes of the "berceuse" deployment with fast engines.
// If change is not nil, it may modify the options.
func startFleet(t *testing.T, change func(*bench.FleetOptions)) *bench.Fleet {
	t.Helper()
	o := bench.FleetOptions{Deployment: "berceuse", Nodes: 2, Seed: 1, TimeScale: 0.05}
	if change != nil {
		change(&o)
	}
	f, err := bench.StartFleet(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

func newClient(f *bench.Fleet, key string) openai.Client {
	return openai.NewClient(
		option.WithBaseURL(f.Nodes()[0].EntryURL()+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0),
	)
}

func chatParams(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    model,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Which statue is in the west hall?")},
	}
}

// sumEngines sums a counter over all engines.
func sumEngines(f *bench.Fleet, counter func(answered, cancelled int64) int64) int64 {
	var total int64
	for _, e := range f.Engines {
		c := e.Counters()
		total += counter(c.Answered, c.Cancelled)
	}
	return total
}

// Guards against a caller interface that the official OpenAI client cannot use:
// complete and streamed answers, errors in the expected format, and cancellation
// that reaches the engine.
func TestOfficialClient(t *testing.T) {
	f := startFleet(t, nil)
	key := f.Deployment.Organisations[0].Key
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	c := newClient(f, key)

	t.Run("complete", func(t *testing.T) {
		answer, err := c.Chat.Completions.New(ctx, chatParams("auto"))
		if err != nil {
			t.Fatal(err)
		}
		if len(answer.Choices) != 1 || answer.Choices[0].Message.Content == "" || answer.Usage.CompletionTokens == 0 {
			t.Fatalf("incomplete answer %+v", answer)
		}
	})
	t.Run("streamed", func(t *testing.T) {
		whole, err := c.Chat.Completions.New(ctx, chatParams("small@1"))
		if err != nil {
			t.Fatal(err)
		}
		stream := c.Chat.Completions.NewStreaming(ctx, chatParams("small@1"))
		var text strings.Builder
		for stream.Next() {
			for _, choice := range stream.Current().Choices {
				text.WriteString(choice.Delta.Content)
			}
		}
		if err := stream.Err(); err != nil {
			t.Fatal(err)
		}
		if text.String() != whole.Choices[0].Message.Content {
			t.Fatalf("streamed answer %q differs from the complete one %q", text.String(), whole.Choices[0].Message.Content)
		}
	})
	t.Run("models", func(t *testing.T) {
		page, err := c.Models.List(ctx)
		if err != nil || len(page.Data) < 3 {
			t.Fatalf("got %v, %v", page, err)
		}
	})
	t.Run("cancelled", func(t *testing.T) { checkCancel(ctx, t, f, c) })
	t.Run("refused", func(t *testing.T) { checkRefusals(ctx, t, f) })
}

func checkCancel(ctx context.Context, t *testing.T, f *bench.Fleet, c openai.Client) {
	count := func(_, cancelled int64) int64 { return cancelled }
	before := sumEngines(f, count)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	params := chatParams("large@1")
	params.Messages = []openai.ChatCompletionMessageParamUnion{openai.UserMessage(strings.Repeat("a long rota ", 50))}
	stream := c.Chat.Completions.NewStreaming(ctx, params)
	if !stream.Next() {
		t.Fatal(stream.Err())
	}
	cancel()
	_ = stream.Close() // The request is cancelled already.
	deadline := time.Now().Add(10 * time.Second)
	for sumEngines(f, count) == before {
		if time.Now().After(deadline) {
			t.Fatal("the cancellation did not reach an engine within 10 s")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func checkRefusals(ctx context.Context, t *testing.T, f *bench.Fleet) {
	restricted := workload.Organisation{}
	for _, o := range f.Deployment.Organisations {
		if !contains(o.Allow, "large") && !contains(o.Allow, "large@1") {
			restricted = o
		}
	}
	if restricted.Name == "" {
		t.Fatal("no organisation is restricted from the large model")
	}
	cases := []struct {
		name, key, model string
		status           int
		code             string
	}{
		{"unknown key", "wrong", "auto", http.StatusUnauthorized, "unauthenticated"},
		{"model not allowed", restricted.Key, "large", http.StatusForbidden, "model_not_allowed"},
		{"unknown model", restricted.Key, "none", http.StatusForbidden, "model_not_allowed"},
	}
	for _, tc := range cases {
		_, err := complete(ctx, f, tc.key, tc.model)
		var refusal *openai.Error
		if !errors.As(err, &refusal) || refusal.StatusCode != tc.status || refusal.Code != tc.code {
			t.Errorf("%s: got %v, want %d %s", tc.name, err, tc.status, tc.code)
			continue
		}
		if run := refusal.JSON.ExtraFields["run"].Raw(); run != `"not_run"` {
			t.Errorf("%s: run state %s, want not_run", tc.name, run)
		}
	}
}

func complete(ctx context.Context, f *bench.Fleet, key, model string) (*openai.ChatCompletion, error) {
	c := newClient(f, key)
	return c.Chat.Completions.New(ctx, chatParams(model))
}

func contains(list []string, value string) bool {
	for _, v := range list {
		if v == value {
			return true
		}
	}
	return false
}
