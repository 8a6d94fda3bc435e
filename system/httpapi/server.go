// Package httpface is what both planes' HTTP interfaces share: typed failures as
// JSON bodies, body limits, and a server that can be drained.
package httpapi

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"yardrock.example/system/api/gen/health"
	healthserver "yardrock.example/system/api/gen/http/health/server"
	"yardrock.example/system/apierror"
)

// statusOfKind maps kinds of failure to HTTP statuses.
var statusOfKind = map[apierror.Kind]int{
	apierror.Invalid: http.StatusBadRequest, apierror.Unauthorized: http.StatusUnauthorized, apierror.Forbidden: http.StatusForbidden,
	apierror.NotFound: http.StatusNotFound, apierror.Conflict: http.StatusConflict, apierror.TooLarge: http.StatusRequestEntityTooLarge,
	apierror.QuotaExhausted: http.StatusForbidden, apierror.NotRun: http.StatusServiceUnavailable, apierror.NoQuorum: http.StatusServiceUnavailable,
	apierror.Gap: http.StatusServiceUnavailable, apierror.Unavailable: http.StatusServiceUnavailable, apierror.NotLeader: http.StatusServiceUnavailable,
	apierror.Unknown: http.StatusBadGateway, apierror.RunnerFailure: http.StatusBadGateway, apierror.OutcomeUnknown: http.StatusGatewayTimeout,
}

// Error is the body of every answer that is no success.
type Error struct {
	Kind       string `json:"kind"`
	Message    string `json:"message"`
	Remedy     string `json:"remedy"`
	RetryAfter int64  `json:"retry_after_ms,omitempty"`
	statusCode int
}

// StatusCode is the HTTP status of the failure.
//
//	status := failure.StatusCode()
func (body *Error) StatusCode() int { return body.statusCode }

type writerKey struct{}

// FormatError turns an error into a failure body; goa calls it.
//
//	server := workserver.New(endpoints, mux, decoder, encoder, nil, httpface.FormatError, nil)
func FormatError(ctx context.Context, err error) goahttp.Statuser {
	failed := apierror.Of(err)
	var service *goa.ServiceError
	if errors.As(err, &service) {
		failed = &apierror.Error{Kind: apierror.Invalid, Message: service.Message, Remedy: "correct the query as the message says"}
		if strings.Contains(service.Message, "request body too large") {
			failed = &apierror.Error{Kind: apierror.TooLarge, Message: "the body is larger than the config allows", Remedy: "send less in one query"}
		}
	}
	status, known := statusOfKind[failed.Kind]
	if !known {
		status = http.StatusInternalServerError
	}
	if writer, found := ctx.Value(writerKey{}).(http.ResponseWriter); found && failed.RetryAfter > 0 {
		writer.Header().Set("Retry-After", strconv.Itoa(int((failed.RetryAfter+time.Second-1)/time.Second)))
	}
	return &Error{Kind: string(failed.Kind), Message: failed.Message, Remedy: failed.Remedy, RetryAfter: failed.RetryAfter.Milliseconds(), statusCode: status}
}

// SetContentType names the type of an answer whose body the method writes itself.
//
//	httpface.SetContentType(ctx, "application/x-ndjson")
func SetContentType(ctx context.Context, kind string) {
	if writer, found := ctx.Value(writerKey{}).(http.ResponseWriter); found {
		writer.Header().Set("Content-Type", kind)
	}
}

// BearerToken reads the token of a bearer header.
//
//	token, err := httpface.BearerToken(payload.Authorization)
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
	done chan struct{}
}

// Serve answers on a listener. Limit gives the largest body taken now.
//
//	server := httpface.Serve(listener, mux, func() int64 { return 1 << 20 })
func Serve(listener net.Listener, handler http.Handler, limit func() int64) *Server {
	server := &Server{done: make(chan struct{})}
	server.http = &http.Server{ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute, Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		request.Body = http.MaxBytesReader(writer, request.Body, limit())
		ctx := context.WithValue(request.Context(), writerKey{}, writer)
		handler.ServeHTTP(writer, request.WithContext(ctx))
	})}
	go func() {
		defer close(server.done)
		if err := server.http.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			log.WithField("error", err.Error()).Error("http_server_failed")
		}
	}()
	return server
}

// Drain stops taking connections and waits for the queries under way.
//
//	err := server.Drain(ctx)
func (server *Server) Drain(ctx context.Context) error { return server.http.Shutdown(ctx) }

// Close ends at once.
//
//	server.Close()
func (server *Server) Close() {
	server.http.Close()
	<-server.done
}

// HealthService answers the platform's questions about one process.
type HealthService struct{ IsReady func() bool }

// Alive answers as long as the process does.
//
//	state, err := Health{}.Alive(ctx)
func (HealthService) Alive(context.Context) (string, error) { return "alive", nil }

// Ready refuses while the process cannot take work.
//
//	state, err := health.Ready(ctx)
func (health HealthService) Ready(context.Context) (string, error) {
	if !health.IsReady() {
		return "", apierror.NewRetryable(apierror.Unavailable, "this process cannot take work now", "wait; its log tells what is missing", time.Second)
	}
	return "ready", nil
}

// HealthHandler serves only health queries, for a node with no other interface.
//
//	server := httpface.Serve(listener, httpface.HealthHandler(node.Ready), limit)
func HealthHandler(isReady func() bool) http.Handler {
	mux := goahttp.NewMuxer()
	MountHealth(mux, isReady)
	return mux
}

// MountHealth adds the health queries to a node's interface.
//
//	httpface.MountHealth(mux, node.Ready)
func MountHealth(mux goahttp.Muxer, isReady func() bool) {
	healthserver.Mount(mux, healthserver.New(health.NewEndpoints(HealthService{IsReady: isReady}), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, FormatError))
}

// Error lets clients treat a failure body as an error.
//
//	return failure.Error()
func (body *Error) Error() string {
	return body.Message + " [" + body.Kind + "; remedy: " + body.Remedy + "]"
}
