package metrics

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"yardrock.example/system/apierror"
)

func TestMetricsAreWrittenAsText(t *testing.T) {
	registry := NewRegistry()
	registry.Count("requests_total", Label{"route", "chat"}, Label{"outcome", "complete"})
	registry.Count("requests_total", Label{"route", "chat"}, Label{"outcome", "complete"})
	registry.Count("requests_total", Label{"route", "a\"b"}, Label{"outcome", "complete"})
	registry.Observe("request_seconds", 0.04)
	registry.Gauge("queued_requests", func() float64 { return 3 })
	text := &strings.Builder{}
	registry.Write(text)
	for _, line := range []string{
		`yardrock_requests_total{route="chat",outcome="complete"} 2`,
		`yardrock_requests_total{route="a\"b",outcome="complete"} 1`,
		`yardrock_request_seconds_bucket{le="0.025"} 0`,
		`yardrock_request_seconds_bucket{le="0.05"} 1`,
		`yardrock_request_seconds_count 1`,
		`yardrock_queued_requests 3`,
	} {
		if !strings.Contains(text.String(), line+"\n") {
			t.Errorf("%q is missing in\n%s", line, text)
		}
	}
}

func TestMetricsAreServedOnlyAtTheirPath(t *testing.T) {
	used, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := used.Addr().String()
	if _, _, err := Open(address, DefaultPath); !apierror.Is(err, apierror.BadSettings) {
		t.Errorf("Open with a port in use returned %v", err)
	}
	if err := used.Close(); err != nil {
		t.Fatal(err)
	}
	registry, stop, err := Open(address, DefaultPath)
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	registry.Count("requests_total")
	for _, test := range []struct {
		method, path string
		status       int
		content      string
	}{
		{http.MethodGet, DefaultPath, http.StatusOK, "yardrock_requests_total 1"},
		{http.MethodHead, DefaultPath, http.StatusOK, ""},
		{http.MethodPost, DefaultPath, http.StatusMethodNotAllowed, ""},
		{http.MethodGet, "/other", http.StatusNotFound, ""},
	} {
		request, err := http.NewRequestWithContext(t.Context(), test.method, "http://"+address+test.path, nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil || response.StatusCode != test.status || !strings.Contains(string(body), test.content) {
			t.Errorf("%s %s: %d, %v, %q", test.method, test.path, response.StatusCode, err, body)
		}
	}
}

func TestOpenWithoutAddressCollectsNothing(t *testing.T) {
	registry, stop, err := Open("", DefaultPath)
	if registry != nil || err != nil {
		t.Errorf("%v, %v", registry, err)
	}
	stop()
}
