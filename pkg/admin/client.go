package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"cassiapin/pkg/config"
	"cassiapin/pkg/result"
)

// Client calls the operator API of nodes.
type Client struct {
	// Key is the operator key.
	Key string
	// HTTP is the underlying HTTP client.
	HTTP *http.Client
}

// clientTimeout limits one call.
const clientTimeout = 10 * time.Second

// maxResponseBytes limits a response; a full timeline takes about 4 MB.
const maxResponseBytes = 64 << 20

// NewClient returns a client with the given operator key.
func NewClient(key string) *Client {
	return &Client{Key: key, HTTP: &http.Client{Timeout: clientTimeout}}
}

// Status returns the state of the node at the base URL.
func (c *Client) Status(ctx context.Context, base string) (Status, error) {
	var s Status
	return s, c.call(ctx, http.MethodGet, base+"/admin/status", nil, &s)
}

// Timeline returns the events of the node that match the query.
func (c *Client) Timeline(ctx context.Context, base string, query url.Values) (Timeline, error) {
	var t Timeline
	return t, c.call(ctx, http.MethodGet, base+"/admin/timeline?"+query.Encode(), nil, &t)
}

// SetMark sets a mark through the node and returns the node's active marks.
func (c *Client) SetMark(ctx context.Context, base string, m MarkRequest) (config.Marks, error) {
	var marks config.Marks
	return marks, c.call(ctx, http.MethodPost, base+"/admin/marks", m, &marks)
}

func (c *Client) call(ctx context.Context, method, target string, body, out any) error {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return err
		}
		reader = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, target, reader)
	if err != nil {
		return result.Wrap(err, result.UsageError, result.NotRun, "the node's address is not usable")
	}
	r.Header.Set("Authorization", "Bearer "+c.Key)
	response, err := c.HTTP.Do(r)
	if err != nil {
		return result.Wrap(err, result.NodeUnreachable, result.Unknown, "the node at %s did not answer", hostOf(target))
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return result.Wrap(err, result.NodeUnreachable, result.Unknown, "the node's answer was cut off")
	}
	if response.StatusCode != http.StatusOK {
		var failure ErrorResponse
		if json.Unmarshal(data, &failure) != nil || failure.Code == 0 {
			return result.New(result.NodeUnreachable, "the node answered with status %d", response.StatusCode)
		}
		return result.New(result.Code(failure.Code), "%s", failure.Message)
	}
	return json.Unmarshal(data, out)
}

func hostOf(target string) string {
	u, err := url.Parse(target)
	if err != nil {
		return strings.SplitN(target, "?", 2)[0]
	}
	return u.Host
}
