package httpapi

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"yardrock.example/system/apierror"
)

// statusByKind maps error kinds to HTTP statuses; other kinds map to 500.
var statusByKind = map[apierror.Kind]int{
	apierror.Invalid: http.StatusBadRequest, apierror.Unauthorized: http.StatusUnauthorized, apierror.Forbidden: http.StatusForbidden,
	apierror.NotFound: http.StatusNotFound, apierror.Conflict: http.StatusConflict, apierror.TooLarge: http.StatusRequestEntityTooLarge,
	apierror.QuotaExhausted: http.StatusForbidden, apierror.NotRun: http.StatusServiceUnavailable, apierror.NoQuorum: http.StatusServiceUnavailable,
	apierror.Gap: http.StatusServiceUnavailable, apierror.Unavailable: http.StatusServiceUnavailable, apierror.NotLeader: http.StatusServiceUnavailable,
	apierror.Unknown: http.StatusBadGateway, apierror.RunnerFailure: http.StatusBadGateway, apierror.OutcomeUnknown: http.StatusGatewayTimeout,
}

// Error is the body of every error response.
type Error struct {
	// Kind is an apierror.Kind, for programs to switch on.
	Kind    string `json:"kind"`
	Message string `json:"message"`
	// Remedy says what the client can do.
	Remedy string `json:"remedy"`
	// RetryAfter is how long to wait before a retry, in milliseconds; 0 if not specified.
	RetryAfter int64 `json:"retry_after_ms,omitempty"`
	statusCode int
}

// StatusCode returns the HTTP status of the error; goa calls it.
//
//	status := body.StatusCode()
func (body *Error) StatusCode() int { return body.statusCode }

// Error lets clients of the API use a decoded body as an error.
//
//	return body.Error()
func (body *Error) Error() string {
	return body.Message + " [" + body.Kind + "; remedy: " + body.Remedy + "]"
}

// FormatError converts an error into a response body, and sets the Retry-After header, in whole
// seconds rounded up, if the error has a retry delay; goa calls it.
//
//	server := workserver.New(endpoints, mux, decoder, encoder, nil, httpapi.FormatError)
func FormatError(ctx context.Context, err error) goahttp.Statuser {
	failure := apierror.Of(err)
	var serviceErr *goa.ServiceError
	if errors.As(err, &serviceErr) {
		failure = &apierror.Error{Kind: apierror.Invalid, Message: serviceErr.Message, Remedy: "correct the request as the message says"}
		// goa keeps only the text of a decoding error, so an http.MaxBytesError is recognized by it.
		if strings.Contains(serviceErr.Message, "request body too large") {
			failure = &apierror.Error{Kind: apierror.TooLarge, Message: "the request body exceeds the configured limit", Remedy: "send a smaller request"}
		}
	}
	status, known := statusByKind[failure.Kind]
	if !known {
		status = http.StatusInternalServerError
	}
	if writer, found := ctx.Value(responseWriterKey{}).(http.ResponseWriter); found && failure.RetryAfter > 0 {
		writer.Header().Set("Retry-After", strconv.Itoa(int((failure.RetryAfter+time.Second-1)/time.Second)))
	}
	return &Error{Kind: string(failure.Kind), Message: failure.Message, Remedy: failure.Remedy, RetryAfter: failure.RetryAfter.Milliseconds(), statusCode: status}
}
