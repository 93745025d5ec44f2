// Package listen serves HTTP on the listeners of a node, optionally with TLS.
package listen

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"
)

// WithTLS wraps the listener with TLS 1.2 or later, using the given PEM files.
// It returns the listener unchanged if certificate is empty.
func WithTLS(listener net.Listener, certificate, key string) (net.Listener, error) {
	if certificate == "" {
		return listener, nil
	}
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, errors.Wrap(err, "load the listener's certificate")
	}
	return tls.NewListener(listener, &tls.Config{
		Certificates: []tls.Certificate{pair},
		MinVersion:   tls.VersionTLS12,
		NextProtos:   []string{"http/1.1"},
	}), nil
}

// stopTimeout limits the wait for requests in flight when a server stops.
const stopTimeout = time.Second

// Serve runs the server under t until t is dying. Requests in flight then have
// stopTimeout to finish; callers that must finish all requests close the listener and
// drain its connections before.
func Serve(t *tomb.Tomb, server *http.Server, listener net.Listener) {
	t.Go(func() error {
		if err := server.Serve(listener); !errors.IsAny(err, http.ErrServerClosed, net.ErrClosed) {
			return err
		}
		return nil
	})
	t.Go(func() error {
		<-t.Dying()
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			return server.Close()
		}
		return nil
	})
}
