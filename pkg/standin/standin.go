// Package standin provides what the in-process emulators of external systems
// share: an HTTP listener, HTTP helpers and the hidden true quality of answers.
// The emulators are in the subpackages. They store nothing on disk, support
// fault injection, and count what actually happened, so that tests can verify
// what the router reports.
package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// readHeaderTimeout bounds the time a client may take for request headers.
const readHeaderTimeout = 30 * time.Second

// Start serves h on listenAddr, for example "127.0.0.1:0", and returns the base
// URL and a function that closes the listener and all connections immediately.
// The function may be called more than once.
func Start(listenAddr string, h http.Handler) (url string, stop func(), err error) {
	l, err := net.Listen("tcp", listenAddr)
	if err != nil {
		return "", nil, errors.Wrap(err, "listen")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(l) // always returns an error once the server is closed
	}()
	stop = func() {
		_ = srv.Close() // the listener may be closed already
		<-done
	}
	return "http://" + l.Addr().String(), stop, nil
}

// WriteJSON writes v as a JSON response with the given status. Write errors
// are ignored: they mean that the client has disconnected.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// WriteError writes an error response in the OpenAI error shape.
func WriteError(w http.ResponseWriter, status int, code, message string) {
	WriteJSON(w, status, map[string]any{
		"error": map[string]any{"message": message, "type": "standin_error", "code": code},
	})
}

// Abort closes the client's connection without a response, or truncates a
// response that has started.
func Abort() { panic(http.ErrAbortHandler) }

// Hash64 returns the FNV-1a hash of the parts. A separator after each part
// makes ("ab","c") and ("a","bc") differ.
func Hash64(parts ...string) uint64 {
	const (
		offset = 14695981039346656037
		prime  = 1099511628211
	)
	h := uint64(offset)
	for _, p := range parts {
		for i := 0; i < len(p); i++ {
			h = (h ^ uint64(p[i])) * prime
		}
		h = (h ^ 0xff) * prime
	}
	return h
}

// Unit maps a hash to [0,1). It mixes the bits first, because the high bits
// of FNV-1a depend little on the last input bytes.
func Unit(h uint64) float64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return float64(h>>11) / (1 << 53)
}
