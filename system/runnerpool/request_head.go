package runnerpool

import (
	"iter"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"yardrock.example/system/apierror"
)

// hopByHopHeaders are the headers that concern one connection and are not passed on (RFC
// 9110, section 7.6.1).
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// tokenBytes are the bytes of tokens (RFC 9110, section 5.6.2).
var tokenBytes = func() (allowed [256]bool) {
	for _, letter := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		allowed[letter] = true
	}
	return allowed
}()

// isToken reports whether a word is a token, as methods and header names are.
func isToken(word string) bool {
	for index := range len(word) {
		if !tokenBytes[word[index]] {
			return false
		}
	}
	return word != ""
}

// isVisible reports whether a word is not empty and has neither blanks nor control bytes.
func isVisible(word string) bool {
	for index := range len(word) {
		if word[index] <= ' ' || word[index] == 0x7f {
			return false
		}
	}
	return word != ""
}

// isHeaderValue reports whether a text has no control bytes, so that it cannot end the
// line of a header (request smuggling).
func isHeaderValue(text string) bool {
	for index := range len(text) {
		if letter := text[index]; letter < ' ' && letter != '\t' || letter == 0x7f {
			return false
		}
	}
	return true
}

// validate returns an error for a request that must not be sent.
func validate(request *Request) error {
	if !isToken(request.Method) || request.Method == http.MethodConnect {
		return invalidRequest("a query has the method "+strconv.Quote(request.Method), "send a method of HTTP other than CONNECT")
	}
	if !isVisible(request.Target) {
		return invalidRequest("a query has the target "+strconv.Quote(request.Target), "send a path without blanks and control bytes")
	}
	if !isVisible(request.Host) {
		return invalidRequest("a query has the host "+strconv.Quote(request.Host), "send the name of a host")
	}
	for _, value := range [...]string{request.ID, request.Runner.Incarnation, request.Urgency, request.LastEventID} {
		if !isHeaderValue(value) {
			return invalidRequest("a query would have the header value "+strconv.Quote(value), "send it without control bytes")
		}
	}
	for name, values := range request.Header {
		if !isToken(name) {
			return invalidRequest("a query has a header named "+strconv.Quote(name), "name headers by tokens")
		}
		for _, value := range values {
			if !isHeaderValue(value) {
				return invalidRequest("the header "+name+" has control bytes", "send it without")
			}
		}
	}
	return nil
}

// millisecondsLeft returns the whole milliseconds until the caller gives up, or an error if
// there are none.
func millisecondsLeft(request *Request) (int64, error) {
	left := time.Until(request.Deadline).Milliseconds()
	if left < 1 && !request.Deadline.IsZero() {
		return 0, &apierror.Error{Kind: apierror.Unavailable, Message: "the caller's time was over before the query could be sent", Remedy: "ask with more time", NeverSent: true}
	}
	return left, nil
}

// appendHead appends the request line and the headers of a request with a body of some
// length.
func (pool *Pool) appendHead(target []byte, request *Request, length int64) ([]byte, error) {
	left, err := millisecondsLeft(request)
	if err != nil {
		return target, err
	}
	headers := &pool.headers
	target = append(target, request.Method...)
	target = append(target, ' ')
	target = append(target, request.Target...)
	target = append(target, " HTTP/1.1\r\n"...)
	target = appendHeader(target, "Host", request.Host)
	target = appendNumber(target, "Content-Length", length)
	target = appendHeader(target, headers.RequestID, request.ID)
	target = appendHeader(target, headers.ExpectedRunner, request.Runner.Incarnation)
	target = appendHeader(target, headers.Urgency, request.Urgency)
	target = appendHeader(target, headers.LastEventID, request.LastEventID)
	if headers.Timeout != "" && !request.Deadline.IsZero() {
		target = appendNumber(target, headers.Timeout, left)
	}
	connection := request.Header["Connection"]
	for name, values := range request.Header {
		canonical := textproto.CanonicalMIMEHeaderKey(name)
		if canonical == "Host" || canonical == "Content-Length" || hopByHopHeaders[canonical] || pool.overrides(canonical, request) || namedByConnection(connection, name) {
			continue
		}
		for _, value := range values {
			target = append(target, name...)
			target = append(target, ": "...)
			target = append(target, value...)
			target = append(target, "\r\n"...)
		}
	}
	return append(target, "\r\n"...), nil
}

// appendHeader appends a header of the pool's own, unless its name or value is empty.
func appendHeader(target []byte, name, value string) []byte {
	if name == "" || value == "" {
		return target
	}
	target = append(target, name...)
	target = append(target, ": "...)
	target = append(target, value...)
	return append(target, "\r\n"...)
}

// appendNumber appends a header with a number.
func appendNumber(target []byte, name string, number int64) []byte {
	target = append(target, name...)
	target = append(target, ": "...)
	target = strconv.AppendInt(target, number, 10)
	return append(target, "\r\n"...)
}

// overrides reports whether a header of the pool's own takes the place of the caller's.
func (pool *Pool) overrides(name string, request *Request) bool {
	switch name {
	case pool.headers.RequestID:
		return request.ID != ""
	case pool.headers.ExpectedRunner:
		return request.Runner.Incarnation != ""
	case pool.headers.Timeout:
		return !request.Deadline.IsZero()
	case pool.headers.Urgency:
		return true
	case pool.headers.LastEventID:
		return request.LastEventID != ""
	}
	return false
}

// namedByConnection reports whether a Connection header names a header as hop-by-hop.
func namedByConnection(connection []string, name string) bool {
	for element := range listElements(connection) {
		if strings.EqualFold(element, name) {
			return true
		}
	}
	return false
}

// listElements iterates over the elements of a header that is a comma-separated list
// (RFC 9110, section 5.6.1), over all its lines.
func listElements(lines []string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, line := range lines {
			for element := range strings.SplitSeq(line, ",") {
				if !yield(strings.TrimSpace(element)) {
					return
				}
			}
		}
	}
}

// bodyLength returns the length of a request's body in bytes.
func bodyLength(request *Request) int64 {
	length := int64(0)
	for _, part := range request.Body {
		length += int64(len(part))
	}
	return length
}
