package quality

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"cassiapin/pkg/result"
)

// maxRatingBytes bounds the body of a rating service response.
const maxRatingBytes = 4096

// ratingRequest is the body of POST {url}/rate.
type ratingRequest struct {
	RequestID string `json:"request_id"`
	Class     string `json:"class"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	Prompt    string `json:"prompt"`
	Answer    string `json:"answer"`
}

type ratingResponse struct {
	Rating *float64 `json:"rating"`
}

// ratingClient calls the rating service.
type ratingClient struct {
	url  string
	http *http.Client
}

// rate requests one rating. ok is false if the service has none. It fails with
// result.UpstreamTimeout or result.UpstreamError.
func (c *ratingClient) rate(ctx context.Context, s Sample, timeout time.Duration) (rating float64, ok bool, err error) {
	if c.url == "" {
		return 0, false, result.New(result.UpstreamError, "no rating service is set")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(ratingRequest{
		RequestID: s.RequestID, Class: s.Class, Model: s.Version.Model,
		Version: s.Version.Version, Prompt: s.Prompt, Answer: s.Answer,
	})
	if err != nil {
		return 0, false, ratingError(ctx, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+"/rate", bytes.NewReader(body))
	if err != nil {
		return 0, false, ratingError(ctx, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, false, ratingError(ctx, err)
	}
	defer resp.Body.Close()
	return readRating(ctx, resp)
}

func readRating(ctx context.Context, resp *http.Response) (float64, bool, error) {
	if resp.StatusCode == http.StatusNoContent {
		return 0, false, nil
	}
	if resp.StatusCode != http.StatusOK {
		return 0, false, result.New(result.UpstreamError, "the rating service answered with status %d", resp.StatusCode)
	}
	var answer ratingResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxRatingBytes)).Decode(&answer); err != nil {
		return 0, false, ratingError(ctx, err)
	}
	if answer.Rating == nil || !(*answer.Rating >= 0 && *answer.Rating <= 1) {
		return 0, false, result.New(result.UpstreamError, "the rating service gave no rating in [0,1]")
	}
	return *answer.Rating, true, nil
}

func ratingError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return result.Wrap(err, result.UpstreamTimeout, result.Unknown, "the rating service did not answer in time")
	}
	return result.Wrap(err, result.UpstreamError, result.Unknown, "the rating service failed")
}
