package runnerpool

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"yardrock.example/system/apierror"
)

// hopByHopHeaders are the headers that concern only one connection.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// tokenBytes are those that methods and names of headers are made of.
var tokenBytes = func() (allowed [256]bool) {
	for _, one := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		allowed[one] = true
	}
	return allowed
}()

func isToken(word string) bool {
	for index := range len(word) {
		if !tokenBytes[word[index]] {
			return false
		}
	}
	return word != ""
}

// isVisible tells that a word has neither blanks nor control bytes.
func isVisible(word string) bool {
	for index := range len(word) {
		if word[index] <= ' ' || word[index] == 0x7f {
			return false
		}
	}
	return word != ""
}

// isHeaderValue tells that a header's value can't end its line.
func isHeaderValue(words string) bool {
	for index := range len(words) {
		if one := words[index]; one < ' ' && one != '\t' || one == 0x7f {
			return false
		}
	}
	return true
}

func invalidRequest(what, remedy string) error {
	return &apierror.Error{Kind: apierror.Invalid, Message: what, Remedy: remedy, NeverSent: true}
}

// validate tells why a dispatch can't be sent.
func (pool *Pool) validate(request *Request) error {
	if !isToken(request.Method) || request.Method == http.MethodConnect {
		return invalidRequest("a query has the method "+strconv.Quote(request.Method), "send a method of HTTP other than CONNECT")
	}
	if !isVisible(request.Target) {
		return invalidRequest("a query has the target "+strconv.Quote(request.Target), "send a path without blanks and control bytes")
	}
	if !isVisible(request.Host) {
		return invalidRequest("a query has the host "+strconv.Quote(request.Host), "send the name of a host")
	}
	for _, value := range [...]string{request.ID, request.Runner.Life, request.Urgency, request.LastEventID} {
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

// millisecondsLeft gives the whole milliseconds until the caller gives up.
func millisecondsLeft(request *Request) (int64, error) {
	left := time.Until(request.Deadline).Milliseconds()
	if left < 1 && !request.Deadline.IsZero() {
		return 0, &apierror.Error{Kind: apierror.Unavailable, Message: "the caller's time was over before the query could be sent", Remedy: "ask with more time", NeverSent: true}
	}
	return left, nil
}

// appendHead writes the head of a query.
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
	target = appendHeader(target, headers.ExpectedRunner, request.Runner.Life)
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

// appendHeader writes a header of our own, unless it has no name or no value.
func appendHeader(target []byte, name, value string) []byte {
	if name == "" || value == "" {
		return target
	}
	target = append(target, name...)
	target = append(target, ": "...)
	target = append(target, value...)
	return append(target, "\r\n"...)
}

func appendNumber(target []byte, name string, number int64) []byte {
	target = append(target, name...)
	target = append(target, ": "...)
	target = strconv.AppendInt(target, number, 10)
	return append(target, "\r\n"...)
}

// overrides tells that the caller's header of the name is not sent along.
func (pool *Pool) overrides(name string, request *Request) bool {
	switch name {
	case pool.headers.RequestID:
		return request.ID != ""
	case pool.headers.ExpectedRunner:
		return request.Runner.Life != ""
	case pool.headers.Timeout:
		return !request.Deadline.IsZero()
	case pool.headers.Urgency:
		return true
	case pool.headers.LastEventID:
		return request.LastEventID != ""
	}
	return false
}

// namedByConnection tells that a Connection header names a header.
func namedByConnection(connection []string, name string) bool {
	for _, line := range connection {
		for word := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(word), name) {
				return true
			}
		}
	}
	return false
}
