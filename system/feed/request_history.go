package feed

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"iter"
	"strings"
)

// maxRequests bounds each RequestHistory; a request takes packedRequestSize bytes.
const maxRequests = 2048

// AcceptedRequest is an admin request that was carried out.
type AcceptedRequest struct {
	// Digest identifies what its operator sent; see RequestDigest.
	Digest uint64 `capnp:"digest"`
	// Number is what the request was given: a revision of the routing, or the number of its
	// change.
	Number uint64 `capnp:"number"`
}

// RequestHistory makes admin requests idempotent: it remembers the last ones that were
// carried out, so that one which is sent again after a lost answer is acknowledged and not
// carried out twice. Numbers rise. It is immutable: With makes a new one.
type RequestHistory struct {
	// Packed holds the requests, oldest first, of packedRequestSize bytes each. They are
	// packed because every complete view has them, and encoding thousands of structs is slow.
	Packed []byte `capnp:"packed"`
	// Forgotten is the highest number of a request that was dropped.
	Forgotten uint64 `capnp:"forgotten"`
}

// A packed request is the digest, then the number, both big-endian.
const (
	packedDigestSize  = 8
	packedRequestSize = packedDigestSize + 8
)

// appendPacked appends the request in its packed form.
func (request AcceptedRequest) appendPacked(target []byte) []byte {
	target = binary.BigEndian.AppendUint64(target, request.Digest)
	return binary.BigEndian.AppendUint64(target, request.Number)
}

// unpackRequest reads the first request of a packed list, which must not be empty.
func unpackRequest(packed []byte) AcceptedRequest {
	return AcceptedRequest{Digest: binary.BigEndian.Uint64(packed), Number: binary.BigEndian.Uint64(packed[packedDigestSize:])}
}

// All iterates over the requests that are remembered, oldest first.
//
//	for request := range view.RoutingRequests.All() { ... }
func (history *RequestHistory) All() iter.Seq[AcceptedRequest] {
	return func(yield func(AcceptedRequest) bool) {
		for packed := history.Packed; len(packed) >= packedRequestSize; packed = packed[packedRequestSize:] {
			if !yield(unpackRequest(packed)) {
				return
			}
		}
	}
}

// RequestDigest identifies a request by the parts of what its operator sent: 8 bytes of a
// SHA-256 sum.
//
//	digest := feed.RequestDigest("root", "put config", "7", source)
func RequestDigest(parts ...string) uint64 {
	sum := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return binary.BigEndian.Uint64(sum[:])
}

// IsEmpty reports whether no request is remembered.
//
//	if view.RoutingRequests.IsEmpty() { ... }
func (history *RequestHistory) IsEmpty() bool { return len(history.Packed) == 0 }

// NumberOf returns the number that a request was given, if it is remembered.
//
//	if number, accepted := view.AdminRequests.NumberOf(digest); accepted { ... }
func (history *RequestHistory) NumberOf(digest uint64) (uint64, bool) {
	for request := range history.All() {
		if request.Digest == digest {
			return request.Number, true
		}
	}
	return 0, false
}

// MayHaveForgotten reports whether a request that would have been given this number, or a
// higher one, may have been carried out and dropped since. If not, and the request is not
// remembered, it was never carried out.
//
//	if view.RoutingRequests.MayHaveForgotten(revision) { ... }
func (history *RequestHistory) MayHaveForgotten(number uint64) bool {
	return number <= history.Forgotten
}

// With returns the history with more requests, dropping the oldest above maxRequests.
//
//	view.RoutingRequests = view.RoutingRequests.With(change.RoutingRequests...)
func (history RequestHistory) With(requests ...AcceptedRequest) RequestHistory {
	if len(requests) == 0 {
		return history
	}
	packed := make([]byte, 0, len(history.Packed)+len(requests)*packedRequestSize)
	packed = append(packed, history.Packed...)
	for _, request := range requests {
		packed = request.appendPacked(packed)
	}
	for len(packed) > maxRequests*packedRequestSize {
		history.Forgotten = max(history.Forgotten, unpackRequest(packed).Number)
		packed = packed[packedRequestSize:]
	}
	history.Packed = packed
	return history
}

// equal reports whether two histories remember the same requests.
func (history *RequestHistory) equal(other *RequestHistory) bool {
	return history.Forgotten == other.Forgotten && bytes.Equal(history.Packed, other.Packed)
}

// recordRequests remembers the requests that a change carries out.
func (view *View) recordRequests(change Change) {
	view.RoutingRequests = view.RoutingRequests.With(change.RoutingRequests...)
	view.RoutingRequests.Forgotten = max(view.RoutingRequests.Forgotten, change.RoutingForgotten)
	if change.AdminRequest != 0 {
		view.AdminRequests = view.AdminRequests.With(AcceptedRequest{Digest: change.AdminRequest, Number: change.Number})
	}
}

// WithoutRequests returns the view without the request histories, for nodes that accept no
// admin requests.
//
//	answer.View = state.view.WithoutRequests()
func (view *View) WithoutRequests() View {
	bare := *view
	bare.RoutingRequests, bare.AdminRequests = RequestHistory{}, RequestHistory{}
	return bare
}
