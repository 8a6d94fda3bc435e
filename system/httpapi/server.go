// Package httpapi is what the HTTP interfaces of the data plane and the control plane share:
// errors as JSON bodies, bearer tokens, body limits, health probes, and a server that can be
// drained. It keeps no state but the open connections.
package httpapi

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
)

// responseWriterKey is the key of the response writer in a request's context: goa's methods don't
// get it.
type responseWriterKey struct{}

// SetContentType sets the type of a response whose body the method writes itself.
//
//	httpapi.SetContentType(ctx, "application/x-ndjson")
func SetContentType(ctx context.Context, contentType string) {
	if writer, found := ctx.Value(responseWriterKey{}).(http.ResponseWriter); found {
		writer.Header().Set("Content-Type", contentType)
	}
}

// BearerToken returns the token of an Authorization field, or an error of the kind
// Unauthorized.
//
//	token, err := httpapi.BearerToken(payload.Authorization)
func BearerToken(header *string) (string, error) {
	if header != nil {
		if token, found := strings.CutPrefix(*header, "Bearer "); found && token != "" {
			return token, nil
		}
	}
	return "", apierror.New(apierror.Unauthorized, "the query has no bearer token", "send the header Authorization: Bearer TOKEN")
}

// Server is one HTTP listener.
type Server struct {
	http *http.Server
	// done is closed when the accepting goroutine has ended.
	done chan struct{}
}

const (
	// readHeaderTimeout is how long a caller may take to send a request's header.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long a connection is kept without a request.
	idleTimeout = 2 * time.Minute
)

// Serve serves requests on a listener, in a goroutine of its own, until Close. limit returns
// the largest request body allowed now, in bytes.
//
//	server := httpapi.Serve(listener, mux, func() int64 { return 1 << 20 })
func Serve(listener net.Listener, handler http.Handler, limit func() int64) *Server {
	server := &Server{done: make(chan struct{})}
	server.http = &http.Server{ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		request.Body = http.MaxBytesReader(writer, request.Body, limit())
		ctx := context.WithValue(request.Context(), responseWriterKey{}, writer)
		handler.ServeHTTP(writer, request.WithContext(ctx))
	})}
	go func() {
		defer close(server.done)
		if err := server.http.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			log.WithField("error", err.Error()).Error("HTTP server stopped accepting requests")
		}
	}()
	return server
}

// Drain stops accepting connections and waits for the requests under way, or the end of the
// context.
//
//	err := server.Drain(ctx)
func (server *Server) Drain(ctx context.Context) error { return server.http.Shutdown(ctx) }

// Close closes the listener and all connections at once, and waits for the accepting
// goroutine.
//
//	server.Close()
func (server *Server) Close() {
	server.http.Close()
	<-server.done
}
