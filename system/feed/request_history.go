package feed

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"iter"
	"strings"
)

// maxRequests is how many orders of each kind are remembered; one takes 16 bytes.
const maxRequests = 2048

// AcceptedRequest is an order that was carried out: a digest of what its operator sent, and
// the number that it was given.
type AcceptedRequest struct {
	Digest uint64 `capnp:"digest"`
	Number uint64 `capnp:"number"`
}

// RequestHistory remembers the last orders that were carried out, so that one which is sent
// again after a lost answer is acknowledged and not carried out twice. Numbers rise. It
// is never changed in place.
type RequestHistory struct {
	// Packed holds the orders, oldest first, of packedRequestSize bytes each: it is part of
	// every view that is sent whole, and thousands of structs would take long to encode.
	Packed []byte `capnp:"packed"`
	// Forgotten is the highest number of the orders that are no longer remembered.
	Forgotten uint64 `capnp:"forgotten"`
}

// packedRequestSize is how many bytes one order takes: the digest, then the number.
const packedRequestSize = 16

func (request AcceptedRequest) appendPacked(target []byte) []byte {
	target = binary.BigEndian.AppendUint64(target, request.Digest)
	return binary.BigEndian.AppendUint64(target, request.Number)
}

func unpackRequest(packed []byte) AcceptedRequest {
	return AcceptedRequest{Digest: binary.BigEndian.Uint64(packed), Number: binary.BigEndian.Uint64(packed[8:])}
}

// All iterates over the orders that are remembered, the oldest first.
//
//	for order := range view.RoutingRequests.All() { ... }
func (history *RequestHistory) All() iter.Seq[AcceptedRequest] {
	return func(yield func(AcceptedRequest) bool) {
		for packed := history.Packed; len(packed) >= packedRequestSize; packed = packed[packedRequestSize:] {
			if !yield(unpackRequest(packed)) {
				return
			}
		}
	}
}

// RequestDigest identifies an order by the parts of what its operator sent.
//
//	digest := feed.RequestDigest("root", "put config", "7", source)
func RequestDigest(parts ...string) uint64 {
	sum := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return binary.BigEndian.Uint64(sum[:8])
}

// IsEmpty tells that no order is remembered.
//
//	if view.RoutingRequests.IsEmpty() { ... }
func (history *RequestHistory) IsEmpty() bool { return len(history.Packed) == 0 }

// NumberOf finds the number that an order was given.
//
//	if number, taken := view.AdminRequests.NumberOf(digest); taken { ... }
func (history *RequestHistory) NumberOf(digest uint64) (uint64, bool) {
	for request := range history.All() {
		if request.Digest == digest {
			return request.Number, true
		}
	}
	return 0, false
}

// MayHaveForgotten tells whether an order that would have been given a number, or a
// higher one, may have been carried out and forgotten.
//
//	if view.RoutingRequests.MayHaveForgotten(revision) { ... }
func (history *RequestHistory) MayHaveForgotten(number uint64) bool {
	return number <= history.Forgotten
}

// With gives the history with more orders, of which the oldest are forgotten.
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

func (history *RequestHistory) equal(other *RequestHistory) bool {
	return history.Forgotten == other.Forgotten && bytes.Equal(history.Packed, other.Packed)
}

// recordRequests remembers the orders that a change carries out.
func (view *View) recordRequests(change Change) {
	view.RoutingRequests = view.RoutingRequests.With(change.RoutingRequests...)
	view.RoutingRequests.Forgotten = max(view.RoutingRequests.Forgotten, change.RoutingForgotten)
	if change.AdminRequest != 0 {
		view.AdminRequests = view.AdminRequests.With(AcceptedRequest{Digest: change.AdminRequest, Number: change.Number})
	}
}

// WithoutRequests gives the view as those need it who take no orders.
//
//	answer.View = state.view.WithoutRequests()
func (view *View) WithoutRequests() View {
	bare := *view
	bare.RoutingRequests, bare.AdminRequests = RequestHistory{}, RequestHistory{}
	return bare
}
