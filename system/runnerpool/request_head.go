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

// hopByHopHeaders are the headers that concern one connection and are not forwarded (RFC
// 9110, section 7.6.1).
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// tokenBytes are the bytes that tokens consist of (RFC 9110, section 5.6.2).
var tokenBytes = func() (allowed [256]bool) {
	for _, char := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		allowed[char] = true
	}
	return allowed
}()

// isToken reports whether a text is a token, as methods and header names must be.
func isToken(text string) bool {
	for index := range len(text) {
		if !tokenBytes[text[index]] {
			return false
		}
	}
	return text != ""
}

// isVisible reports whether a text is not empty and has neither spaces nor control bytes.
func isVisible(text string) bool {
	for index := range len(text) {
		if text[index] <= ' ' || text[index] == 0x7f {
			return false
		}
	}
	return text != ""
}

// isHeaderValue reports whether a text has no control bytes other than tabs, so that it
// cannot end the header line (request smuggling).
func isHeaderValue(text string) bool {
	for index := range len(text) {
		if char := text[index]; char < ' ' && char != '\t' || char == 0x7f {
			return false
		}
	}
	return true
}

// validate returns an error for a request that must not be sent.
func validate(request *Request) error {
	if !isToken(request.Method) || request.Method == http.MethodConnect {
		return invalidRequestError("invalid request method "+strconv.Quote(request.Method), "use an HTTP method other than CONNECT")
	}
	if !isVisible(request.Target) {
		return invalidRequestError("invalid request target "+strconv.Quote(request.Target), "use a path without spaces and control bytes")
	}
	if !isVisible(request.Host) {
		return invalidRequestError("invalid request host "+strconv.Quote(request.Host), "use a host name without spaces and control bytes")
	}
	for _, value := range [...]string{request.ID, request.Runner.Incarnation, request.Urgency, request.LastEventID, request.Tenant} {
		if !isHeaderValue(value) {
			return invalidRequestError("invalid request header value "+strconv.Quote(value), "remove the control bytes")
		}
	}
	for name, values := range request.Header {
		if !isToken(name) {
			return invalidRequestError("invalid request header name "+strconv.Quote(name), "use a token as the header name (RFC 9110, section 5.6.2)")
		}
		for _, value := range values {
			if !isHeaderValue(value) {
				return invalidRequestError("value of request header "+name+" has control bytes", "remove the control bytes")
			}
		}
	}
	return nil
}

// millisecondsLeft returns the whole milliseconds until the deadline, or an error if there
// are none. Without a deadline the result has no meaning.
func millisecondsLeft(request *Request) (int64, error) {
	left := time.Until(request.Deadline).Milliseconds()
	if left < 1 && !request.Deadline.IsZero() {
		return 0, &apierror.Error{Kind: apierror.Unavailable, Message: "the deadline passed before the request could be sent", Remedy: "use a longer timeout", NeverSent: true}
	}
	return left, nil
}

// appendHead appends the request line and the headers of a request whose body has the
// given length.
func (pool *Pool) appendHead(buffer []byte, request *Request, length int64) ([]byte, error) {
	left, err := millisecondsLeft(request)
	if err != nil {
		return buffer, err
	}
	headers := &pool.headers
	buffer = append(buffer, request.Method...)
	buffer = append(buffer, ' ')
	buffer = append(buffer, request.Target...)
	buffer = append(buffer, " HTTP/1.1\r\n"...)
	buffer = appendHeader(buffer, "Host", request.Host)
	buffer = appendNumber(buffer, "Content-Length", length)
	buffer = appendHeader(buffer, headers.RequestID, request.ID)
	buffer = appendHeader(buffer, headers.ExpectedRunner, request.Runner.Incarnation)
	buffer = appendHeader(buffer, headers.Urgency, request.Urgency)
	buffer = appendHeader(buffer, headers.LastEventID, request.LastEventID)
	if request.WithholdsKey {
		buffer = appendHeader(buffer, headers.Tenant, request.Tenant)
	}
	if headers.Timeout != "" && !request.Deadline.IsZero() {
		buffer = appendNumber(buffer, headers.Timeout, left)
	}
	connection := request.Header["Connection"]
	for name, values := range request.Header {
		canonical := textproto.CanonicalMIMEHeaderKey(name)
		if canonical == "Host" || canonical == "Content-Length" || hopByHopHeaders[canonical] || pool.overrides(canonical, request) || namedByConnection(connection, name) {
			continue
		}
		for _, value := range values {
			buffer = append(buffer, name...)
			buffer = append(buffer, ": "...)
			buffer = append(buffer, value...)
			buffer = append(buffer, "\r\n"...)
		}
	}
	return append(buffer, "\r\n"...), nil
}

// appendHeader appends a header that the pool sets, unless its name or value is empty.
func appendHeader(buffer []byte, name, value string) []byte {
	if name == "" || value == "" {
		return buffer
	}
	buffer = append(buffer, name...)
	buffer = append(buffer, ": "...)
	buffer = append(buffer, value...)
	return append(buffer, "\r\n"...)
}

// appendNumber appends a header with a decimal number.
func appendNumber(buffer []byte, name string, number int64) []byte {
	buffer = append(buffer, name...)
	buffer = append(buffer, ": "...)
	buffer = strconv.AppendInt(buffer, number, 10)
	return append(buffer, "\r\n"...)
}

// overrides reports whether a header that the pool sets replaces that in Request.Header.
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
	case pool.headers.Tenant, "Authorization":
		return request.WithholdsKey
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

// listElements iterates over the elements of a comma-separated header (RFC 9110, section
// 5.6.1) that may span several lines.
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
