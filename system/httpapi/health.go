package httpapi

import (
	"context"
	"net/http"
	"time"

	goahttp "goa.design/goa/v3/http"

	"yardrock.example/system/api/gen/health"
	healthserver "yardrock.example/system/api/gen/http/health/server"
	"yardrock.example/system/apierror"
)

// healthService answers the platform's liveness and readiness probes of one process.
type healthService struct{ IsReady func() bool }

// Alive answers as long as the process does.
func (healthService) Alive(context.Context) (string, error) { return "alive", nil }

// Ready returns an error of the kind Unavailable while the process cannot take requests.
func (service healthService) Ready(context.Context) (string, error) {
	if !service.IsReady() {
		return "", apierror.NewRetryable(apierror.Unavailable, "this process cannot take work now", "wait; its log tells what is missing", time.Second)
	}
	return "ready", nil
}

// HealthHandler serves only health probes, for a node that has no other HTTP interface.
//
//	server := httpapi.Serve(listener, httpapi.HealthHandler(node.Ready), limit)
func HealthHandler(isReady func() bool) http.Handler {
	mux := goahttp.NewMuxer()
	MountHealth(mux, isReady)
	return mux
}

// MountHealth adds the health probes to a node's interface.
//
//	httpapi.MountHealth(mux, node.Ready)
func MountHealth(mux goahttp.Muxer, isReady func() bool) {
	healthserver.Mount(mux, healthserver.New(health.NewEndpoints(healthService{IsReady: isReady}), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, FormatError))
}
