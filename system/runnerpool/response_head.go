package runnerpool

import (
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

const (
	// maxStrayResponses is how many responses to other requests are dropped before the
	// response to this request.
	maxStrayResponses = 2
	// maxInterimResponses is how many interim responses (1xx) are dropped before the final one.
	maxInterimResponses = 8
	// maxHeadBytes is the size limit of a response head.
	maxHeadBytes = 64 << 10
	// maxRetryAfterSeconds is the longest Retry-After that is accepted: one day.
	maxRetryAfterSeconds = 86400
)

// getRequest and headRequest tell http.ReadResponse whether a body follows the head.
var (
	getRequest  = &http.Request{Method: http.MethodGet}
	headRequest = &http.Request{Method: http.MethodHead}
)

// readHead reads response heads until it finds the one to this request. It drops interim
// responses and late responses to earlier requests.
func (trip *roundTrip) readHead() (*http.Response, error) {
	connection := trip.connection
	defer func() { connection.headBytesLeft = -1 }()
	requested := getRequest
	if trip.request.Method == http.MethodHead {
		requested = headRequest
	}
	first := !connection.reused // no earlier request can have a late response on this connection
	for stray, interim := 0, 0; ; {
		connection.headBytesLeft = maxHeadBytes
		response, err := http.ReadResponse(connection.buffers.reader, requested)
		if err != nil {
			return nil, err
		}
		if !isSupported(response) {
			return nil, protocolError("unsupported response " + strconv.Quote(response.Proto+" "+response.Status))
		}
		if response.StatusCode < 200 {
			if interim++; interim > maxInterimResponses {
				return nil, protocolError("too many interim responses")
			}
			continue
		}
		match := trip.matchID(response.Header)
		// Servers reject requests that they cannot parse without echoing the ID. On a new
		// connection such a response can only belong to this request.
		if match == idMissing && (response.StatusCode < 300 || !first) {
			return nil, protocolError("response has no request ID")
		}
		if match != idDiffers {
			return response, nil
		}
		trip.stray, first = true, false
		if stray++; stray > maxStrayResponses {
			return nil, protocolError("too many responses to other requests")
		}
		if err := trip.dropStray(response); err != nil {
			return nil, err
		}
	}
}

// isSupported reports whether the pool supports the version and the status of a response.
// It never requests a protocol switch, so that 101 is not supported.
func isSupported(response *http.Response) bool {
	return response.ProtoMajor == 1 && response.StatusCode >= 100 && response.StatusCode <= 599 && response.StatusCode != http.StatusSwitchingProtocols
}

// dropStray reads and drops the body of a response to another request. If this request is
// a HEAD request, it is unknown whether the stray response has a body, unless its length
// is 0.
func (trip *roundTrip) dropStray(response *http.Response) error {
	if trip.request.Method == http.MethodHead && response.ContentLength != 0 {
		return protocolError("response to another request came before that to a HEAD request, and its end cannot be determined")
	}
	trip.connection.headBytesLeft = -1
	_, err := io.Copy(io.Discard, response.Body)
	return err
}

// idMatch is how the ID in a response compares to that of the request.
type idMatch int

const (
	idMatches idMatch = iota
	idMissing         // the response has none
	idDiffers         // it is a response to another request
)

// matchID compares the ID in a response head to that of the request. If the request has
// none, a response without one matches.
func (trip *roundTrip) matchID(header http.Header) idMatch {
	key := trip.pool.headers.RequestID
	if key == "" {
		return idMatches
	}
	wanted := trip.request.ID
	if wanted == "" {
		wanted = trip.request.Header.Get(key)
	}
	ids := header[key]
	if len(ids) == 0 && wanted != "" {
		return idMissing
	}
	for _, id := range ids {
		if id != wanted {
			return idDiffers
		}
	}
	return idMatches
}

// isCloseDelimited reports whether the body ends only with the connection.
func isCloseDelimited(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}

// isUnencoded reports whether the given values of Content-Encoding mean that a body has no
// content encoding.
func isUnencoded(values []string) bool {
	for coding := range listElements(values) {
		if coding != "" && !strings.EqualFold(coding, "identity") {
			return false
		}
	}
	return true
}

// removeHopByHop deletes the hop-by-hop headers.
func removeHopByHop(header http.Header) {
	for name := range listElements(header["Connection"]) {
		delete(header, textproto.CanonicalMIMEHeaderKey(name))
	}
	for name := range hopByHopHeaders {
		delete(header, name)
	}
}

// parseKeepAlive returns the timeout parameter of the Keep-Alive header, if it has one.
func parseKeepAlive(header http.Header) (time.Duration, bool) {
	for parameter := range listElements(header["Keep-Alive"]) {
		name, value, _ := strings.Cut(parameter, "=")
		if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		if seconds, err := strconv.ParseUint(strings.Trim(value, ` "`), 10, 20); err == nil {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

// idleTimeoutFor returns how long to keep a connection idle, given the runner's Keep-Alive
// timeout: well below it, because a request sent at the last moment must still arrive in
// time.
func idleTimeoutFor(keepAlive time.Duration) time.Duration {
	return keepAlive*3/4 - 250*time.Millisecond
}

// parseLoad parses "running,waiting,slots"; it returns nil if the text is anything else.
func parseLoad(text string) *Load {
	numbers := [3]int{}
	for index := range numbers {
		field, rest, more := strings.Cut(text, ",")
		number, err := strconv.ParseUint(strings.TrimSpace(field), 10, 31)
		if err != nil || more != (index < len(numbers)-1) {
			return nil
		}
		numbers[index], text = int(number), rest
	}
	return &Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}
}

// parseRetryAfter parses Retry-After as seconds, which may have a fraction. It returns 0 if
// the header is missing or anything else, such as a date.
func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) || seconds > maxRetryAfterSeconds {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
