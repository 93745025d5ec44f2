package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/config"
	"cassiapin/pkg/upstream"
)

const (
	orderTimeout     = 2 * time.Second
	orderIdleTimeout = 30 * time.Second
	maxResponseBytes = 4 << 10
)

// errFenced means that the engine has seen a higher fencing number.
var errFenced = errors.New("order rejected: the runner has seen a higher fencing number")

// newSender returns a Sender that uses POST URL/orders. Orders are idempotent,
// so the transport may retry them.
func newSender() Sender {
	client := &http.Client{
		Transport:     &http.Transport{IdleConnTimeout: orderIdleTimeout, MaxIdleConnsPerHost: 1, DisableCompression: true},
		Timeout:       orderTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return func(ctx context.Context, u *config.Upstream, o Order, epoch uint64) error {
		body, err := json.Marshal(o)
		if err != nil {
			return err
		}
		url := strings.TrimSuffix(u.URL, "/") + "/orders"
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
		if err != nil {
			return err
		}
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set(upstream.HeaderFencing, strconv.FormatUint(epoch, 10))
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		// The body must be read for the connection to be reused.
		_, _ = io.CopyN(io.Discard, response.Body, maxResponseBytes)
		switch response.StatusCode {
		case http.StatusOK, http.StatusAccepted:
			return nil
		case http.StatusConflict:
			return errFenced
		}
		return errors.Newf("order request returned status %d", response.StatusCode)
	}
}
