// Package httpapi has what the HTTP interfaces of the data plane and the control plane share:
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

// responseWriterKey is the key of the response writer in a request's context, as goa does not
// pass it to service methods.
type responseWriterKey struct{}

// SetContentType sets the content type of a response whose body the service method writes itself.
//
//	httpapi.SetContentType(ctx, "application/x-ndjson")
func SetContentType(ctx context.Context, contentType string) {
	if writer, found := ctx.Value(responseWriterKey{}).(http.ResponseWriter); found {
		writer.Header().Set("Content-Type", contentType)
	}
}

// BearerToken returns the token of an Authorization header, or an error of kind
// Unauthorized.
//
//	token, err := httpapi.BearerToken(payload.Authorization)
func BearerToken(header *string) (string, error) {
	if header != nil {
		if token, found := strings.CutPrefix(*header, "Bearer "); found && token != "" {
			return token, nil
		}
	}
	return "", apierror.New(apierror.Unauthorized, "the request has no bearer token", "send the header Authorization: Bearer TOKEN")
}

// Server is an HTTP server on one listener.
type Server struct {
	http *http.Server
	// done is closed when the accept loop has ended.
	done chan struct{}
}

const (
	// readHeaderTimeout is how long a client may take to send a request's header.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 2 * time.Minute
)

// Serve serves requests on a listener, in a goroutine of its own, until Close. limit is called
// for each request and returns the maximum size of its body, in bytes.
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

// Drain stops accepting connections and waits for the requests in flight, or until the context
// ends.
//
//	err := server.Drain(ctx)
func (server *Server) Drain(ctx context.Context) error { return server.http.Shutdown(ctx) }

// Close closes the listener and all connections immediately, and waits for the accept loop to
// end.
//
//	server.Close()
func (server *Server) Close() {
	server.http.Close()
	<-server.done
}
