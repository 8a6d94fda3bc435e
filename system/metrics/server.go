package metrics

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
)

// Limits of the connections of scrapers.
const (
	headerTimeout  = 5 * time.Second
	writeTimeout   = 10 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 16 << 10
)

// contentType is the content type of the Prometheus text format.
const contentType = "text/plain; version=0.0.4; charset=utf-8"

// DefaultPath is the path that Prometheus scrapes by default.
const DefaultPath = "/metrics"

// handler answers GET and HEAD requests for a path with the metrics. Other paths get 404, other
// methods 405.
func handler(path string, registry *Registry) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		switch {
		case request.URL.Path != path:
			writer.WriteHeader(http.StatusNotFound)
		case request.Method != http.MethodGet && request.Method != http.MethodHead:
			writer.WriteHeader(http.StatusMethodNotAllowed)
		default:
			writer.Header().Set("Content-Type", contentType)
			if request.Method == http.MethodGet {
				registry.Write(writer)
			}
		}
	})
}

// Open returns a registry and serves its metrics at an address and a path until stop is called. If
// the address is "", the registry is nil and stop does nothing. Errors are those of Serve.
//
//	registry, stop, err := metrics.Open("10.0.0.1:9100", metrics.DefaultPath)
func Open(address, path string) (registry *Registry, stop func(), err error) {
	if address == "" {
		return nil, func() {}, nil
	}
	registry = NewRegistry()
	server, err := Serve(address, path, registry)
	if err != nil {
		return nil, nil, err
	}
	return registry, func() { server.Close() }, nil
}

// Serve serves the metrics of a registry over HTTP at an address (IP and port) and a path, in a
// separate goroutine, until the server is closed. The error is of kind BadSettings if it cannot
// listen on the address, for example because the port is in use.
//
//	server, err := metrics.Serve("10.0.0.1:9100", "/metrics", registry)
//	defer server.Close()
func Serve(address, path string, registry *Registry) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.BadSettings, "metrics: "+err.Error(), "use an address of this machine with a free port")
	}
	server := &http.Server{
		Handler: handler(path, registry), ReadHeaderTimeout: headerTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.WithField("error", err.Error()).Error("metrics are no longer served")
		}
	}()
	return server, nil
}
