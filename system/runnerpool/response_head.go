package runnerpool

import (
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

const (
	// maxStrayResponses is how many answers to other queries are dropped before the one to this.
	maxStrayResponses = 2
	// maxInterimResponses is how many interim (1xx) heads may come before an answer.
	maxInterimResponses = 8
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 64 << 10
)

var errHeadTooLarge = errors.New("the head of its answer is too large")

// protocolError tells what is wrong with what came in place of an answer.
type protocolError string

func (wrong protocolError) Error() string { return string(wrong) }

// readHead reads heads until one is of an answer to this query.
func (trip *roundTrip) readHead() (*http.Response, error) {
	connection := trip.connection
	defer func() { connection.headBytesLeft = -1 }()
	first := !connection.reused
	for stray, interim := 0, 0; ; {
		connection.headBytesLeft = maxHeadBytes
		response, err := http.ReadResponse(connection.buffers.reader, requestByMethod[trip.request.Method == http.MethodHead])
		if err != nil {
			return nil, err
		}
		if response.ProtoMajor != 1 || response.StatusCode > 599 || response.StatusCode < 100 || response.StatusCode == http.StatusSwitchingProtocols {
			return nil, protocolError("it answered " + strconv.Quote(response.Proto+" "+response.Status))
		}
		if response.StatusCode < 200 {
			if interim++; interim > maxInterimResponses {
				return nil, protocolError("it sent too many interim heads")
			}
			continue
		}
		match := trip.matchID(response.Header)
		if match == idMissing && (response.StatusCode < 300 || !first) {
			return nil, protocolError("its answer does not name the query")
		}
		if match != idDiffers {
			return response, nil
		}
		trip.stray, first = true, false
		if stray++; stray > maxStrayResponses {
			return nil, protocolError("it answered other queries")
		}
		if trip.request.Method == http.MethodHead && response.ContentLength != 0 {
			return nil, protocolError("it answered another query first, and it can't be told where that answer ends")
		}
		connection.headBytesLeft = -1
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
}

type idMatch int

const (
	idMatches idMatch = iota
	idMissing
	idDiffers
)

// whose tells whether an answer is to this query, by the name that it bears.
func (trip *roundTrip) matchID(header http.Header) idMatch {
	key := trip.pool.headers.RequestID
	if key == "" {
		return idMatches
	}
	requested := trip.request.ID
	if requested == "" {
		requested = trip.request.Header.Get(key)
	}
	names := header[key]
	if len(names) == 0 && requested != "" {
		return idMissing
	}
	for _, name := range names {
		if name != requested {
			return idDiffers
		}
	}
	return idMatches
}

// endless tells that only the end of the connection ends a body.
func isCloseDelimited(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}

// isUnencoded tells that a body is not encoded.
func isUnencoded(coding []string) bool {
	for _, line := range coding {
		for word := range strings.SplitSeq(line, ",") {
			if word = strings.TrimSpace(word); word != "" && !strings.EqualFold(word, "identity") {
				return false
			}
		}
	}
	return true
}

// removeHopByHop takes away the headers that concern only one connection.
func removeHopByHop(header http.Header) {
	for _, line := range header["Connection"] {
		for word := range strings.SplitSeq(line, ",") {
			delete(header, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(word)))
		}
	}
	for name := range hopByHopHeaders {
		delete(header, name)
	}
}

// parseKeepAlive reads how long a runner keeps an idle connection, in whole seconds.
func parseKeepAlive(header http.Header) (time.Duration, bool) {
	for _, line := range header["Keep-Alive"] {
		for word := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(word), "=")
			if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
				continue
			}
			if seconds, err := strconv.ParseUint(strings.Trim(value, ` "`), 10, 20); err == nil {
				return time.Duration(seconds) * time.Second, true
			}
		}
	}
	return 0, false
}

// idleTimeoutFor is how long a connection is kept idle whose runner keeps it for a time: well
// below, as the query that is sent last still has to arrive.
func idleTimeoutFor(keepAlive time.Duration) time.Duration {
	return keepAlive*3/4 - 250*time.Millisecond
}

// parseLoad reads running,waiting,slots.
func parseLoad(words string) *Load {
	read := [3]int{}
	for index := range read {
		word, rest, more := strings.Cut(words, ",")
		number, err := strconv.ParseUint(strings.TrimSpace(word), 10, 31)
		if err != nil || more != (index < len(read)-1) {
			return nil
		}
		read[index], words = int(number), rest
	}
	return &Load{Running: read[0], Waiting: read[1], Slots: read[2]}
}

// parseRetryAfter reads how many seconds to wait, fractions too; anything else is none.
func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) || seconds > 86400 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
