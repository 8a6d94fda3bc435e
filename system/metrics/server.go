package metrics

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
)

// Limits for the connections of those who ask for figures.
const (
	headerTimeout  = 5 * time.Second
	writeTimeout   = 10 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 16 << 10
)

// contentType is that of the text format of Prometheus.
const contentType = "text/plain; version=0.0.4; charset=utf-8"

// DefaultPath is the path at which Prometheus asks unless it is told another.
const DefaultPath = "/metrics"

// handler answers GET and HEAD of a path with the figures. Other paths get 404, other methods
// 405.
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

// Open returns a registry whose figures are served at an address and a path until stop is called,
// or nil and nothing to stop if the address is "". Errors are those of Serve.
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

// Serve serves the figures of a registry over HTTP at an address (IP and port) and a path, in a
// goroutine of its own, until the server is closed. The error is of kind BadSettings if the
// address cannot be listened on, for instance because another process does.
//
//	server, err := metrics.Serve("10.0.0.1:9100", "/metrics", registry)
//	defer server.Close()
func Serve(address, path string, registry *Registry) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.BadSettings, "metrics: "+err.Error(), "name a free port of this machine")
	}
	server := &http.Server{
		Handler: handler(path, registry), ReadHeaderTimeout: headerTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.WithField("error", err.Error()).Error("figures are no longer served")
		}
	}()
	return server, nil
}
