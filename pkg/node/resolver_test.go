package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"cassiapin/pkg/result"
)

// TestOutcomeWithoutStatusTakenForAnswer reports outcomes that no caller can be sent.
func TestOutcomeWithoutStatusTakenForAnswer(t *testing.T) {
	for body, ok := range map[string]bool{
		`{}`: false, `{"status":0}`: false, `{"status":99}`: false, `{"status":101}`: false, `{"status":600}`: false,
		`{"status":200}`: true, `{"status":599}`: true,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, body) // A failed write shows in the outcome.
		}))
		outcome, err := newResolver(nil).fetchOutcome(t.Context(), server.URL)
		server.Close()
		if !ok && result.CodeOf(err) != result.UpstreamError || ok && (err != nil || outcome == nil) {
			t.Errorf("%s: %+v, %v", body, outcome, err)
		}
	}
}
