package feed

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"iter"
	"strings"
)

// maxRequests bounds the number of requests in each RequestHistory.
const maxRequests = 2048

// AcceptedRequest is an admin request that was executed.
type AcceptedRequest struct {
	// Digest identifies the content of the request; see RequestDigest.
	Digest uint64 `capnp:"digest"`
	// Number is the routing revision of a routing request, or the number of the change of
	// another admin request.
	Number uint64 `capnp:"number"`
}

// RequestHistory makes admin requests idempotent: it records the last ones that were executed,
// so that a retry after a lost reply is acknowledged but not executed again. Their numbers
// increase. It is immutable: With returns a new one.
type RequestHistory struct {
	// Packed holds the requests, oldest first, in packedRequestSize bytes each. They are packed
	// because every full view contains them and encoding thousands of structs is slow.
	Packed []byte `capnp:"packed"`
	// EvictedUpTo is the highest number of an evicted request, 0 if there is none.
	EvictedUpTo uint64 `capnp:"forgotten"`
}

// A packed request is the digest, then the number, both big-endian.
const (
	packedDigestSize  = 8
	packedRequestSize = packedDigestSize + 8
)

// appendPacked appends the packed form of the request to dst.
func (request AcceptedRequest) appendPacked(dst []byte) []byte {
	dst = binary.BigEndian.AppendUint64(dst, request.Digest)
	return binary.BigEndian.AppendUint64(dst, request.Number)
}

// unpackRequest decodes the first request of a packed list, which must not be empty.
func unpackRequest(packed []byte) AcceptedRequest {
	return AcceptedRequest{Digest: binary.BigEndian.Uint64(packed), Number: binary.BigEndian.Uint64(packed[packedDigestSize:])}
}

// All iterates over the recorded requests, oldest first.
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

// RequestDigest returns the digest of a request's parts: the first 8 bytes of their SHA-256
// sum.
//
//	digest := feed.RequestDigest("root", "put config", "7", source)
func RequestDigest(parts ...string) uint64 {
	sum := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return binary.BigEndian.Uint64(sum[:])
}

// IsEmpty reports whether no request is recorded.
//
//	if view.RoutingRequests.IsEmpty() { ... }
func (history *RequestHistory) IsEmpty() bool { return len(history.Packed) == 0 }

// NumberOf returns the number of the request with a digest, if it is recorded.
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

// MayHaveEvicted reports whether a request that would have got this number or a higher one
// may have been executed and then evicted. If not, and it is not recorded, it was never
// executed.
//
//	if view.RoutingRequests.MayHaveEvicted(revision) { ... }
func (history *RequestHistory) MayHaveEvicted(number uint64) bool {
	return number <= history.EvictedUpTo
}

// With returns the history with more requests appended; it evicts the oldest above maxRequests.
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
		history.EvictedUpTo = max(history.EvictedUpTo, unpackRequest(packed).Number)
		packed = packed[packedRequestSize:]
	}
	history.Packed = packed
	return history
}

// equal reports whether two histories have recorded and evicted the same requests.
func (history *RequestHistory) equal(other *RequestHistory) bool {
	return history.EvictedUpTo == other.EvictedUpTo && bytes.Equal(history.Packed, other.Packed)
}

// recordRequests adds the requests that a change executes to the histories.
func (view *View) recordRequests(change Change) {
	view.RoutingRequests = view.RoutingRequests.With(change.RoutingRequests...)
	view.RoutingRequests.EvictedUpTo = max(view.RoutingRequests.EvictedUpTo, change.RoutingEvictedUpTo)
	if change.AdminRequest != 0 {
		view.AdminRequests = view.AdminRequests.With(AcceptedRequest{Digest: change.AdminRequest, Number: change.Number})
	}
}

// WithoutRequests returns the view without the request histories, for nodes that do not serve
// admin requests.
//
//	reply.View = state.view.WithoutRequests()
func (view *View) WithoutRequests() View {
	stripped := *view
	stripped.RoutingRequests, stripped.AdminRequests = RequestHistory{}, RequestHistory{}
	return stripped
}
