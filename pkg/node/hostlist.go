package node

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"cassiapin/pkg/result"
)

// Limits on a request for the host list.
const (
	hostListTimeout  = 2 * time.Second
	maxHostListBytes = 1 << 20
)

// hostList reads peer addresses from the platform's list of hosts. The list may
// be stale, so it only provides seeds for the membership.
type hostList struct {
	url    string
	client *http.Client
}

// newHostList returns a client for the host list at the base URL.
func newHostList(url string) *hostList {
	return &hostList{url: url, client: &http.Client{Timeout: hostListTimeout}}
}

// listedHost is one host of the list.
type listedHost struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Kind    string `json:"kind"`
	State   string `json:"state"`
}

// Seeds implements membership.SeedSource.
func (h *hostList) Seeds(ctx context.Context) ([]string, error) {
	hosts, err := h.read(ctx)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for _, host := range hosts {
		if host.Kind == "node" && host.State == "live" {
			seeds = append(seeds, host.Address)
		}
	}
	return seeds, nil
}

// read fetches the list. It fails with result.PlatformUnavailable if the list
// cannot be fetched or parsed.
func (h *hostList) read(ctx context.Context) ([]listedHost, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url+"/hosts", nil)
	if err != nil {
		return nil, err
	}
	response, err := h.client.Do(r)
	if err != nil {
		return nil, result.Wrap(err, result.PlatformUnavailable, result.NotRun, "the host list does not answer")
	}
	defer response.Body.Close()
	var list struct {
		Hosts []listedHost `json:"hosts"`
	}
	if response.StatusCode != http.StatusOK ||
		json.NewDecoder(io.LimitReader(response.Body, maxHostListBytes)).Decode(&list) != nil {
		return nil, result.New(result.PlatformUnavailable, "the host list cannot be read")
	}
	return list.Hosts, nil
}
