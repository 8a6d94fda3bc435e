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

// healthService implements the liveness and readiness probes of one process.
type healthService struct{ IsReady func() bool }

// Alive succeeds whenever the process can respond.
func (healthService) Alive(context.Context) (string, error) { return "alive", nil }

// Ready returns an error of kind Unavailable while the process cannot serve requests.
func (service healthService) Ready(context.Context) (string, error) {
	if !service.IsReady() {
		return "", apierror.NewRetryable(apierror.Unavailable, "this process is not ready to serve requests", "wait, or check its log for what is missing", time.Second)
	}
	return "ready", nil
}

// HealthHandler serves only the health probes, for a node without another HTTP interface.
//
//	server := httpapi.Serve(listener, httpapi.HealthHandler(node.Ready), limit)
func HealthHandler(isReady func() bool) http.Handler {
	mux := goahttp.NewMuxer()
	MountHealth(mux, isReady)
	return mux
}

// MountHealth adds the health probes to a node's HTTP interface.
//
//	httpapi.MountHealth(mux, node.Ready)
func MountHealth(mux goahttp.Muxer, isReady func() bool) {
	healthserver.Mount(mux, healthserver.New(health.NewEndpoints(healthService{IsReady: isReady}), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, FormatError))
}
