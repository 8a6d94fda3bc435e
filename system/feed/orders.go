package feed

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"iter"
	"strings"
)

// ordersKept is how many orders of each kind are remembered; one takes 16 bytes.
const ordersKept = 2048

// TakenOrder is an order that was carried out: a digest of what its operator sent, and
// the number that it was given.
type TakenOrder struct {
	Digest uint64 `capnp:"digest"`
	Number uint64 `capnp:"number"`
}

// OrderHistory remembers the last orders that were carried out, so that one which is sent
// again after a lost answer is acknowledged and not carried out twice. Numbers rise. It
// is never changed in place.
type OrderHistory struct {
	// Packed holds the orders, oldest first, of packedOrder bytes each: it is part of
	// every view that is sent whole, and thousands of structs would take long to encode.
	Packed []byte `capnp:"packed"`
	// Forgotten is the highest number of the orders that are no longer remembered.
	Forgotten uint64 `capnp:"forgotten"`
}

// packedOrder is how many bytes one order takes: the digest, then the number.
const packedOrder = 16

func (order TakenOrder) pack(target []byte) []byte {
	target = binary.BigEndian.AppendUint64(target, order.Digest)
	return binary.BigEndian.AppendUint64(target, order.Number)
}

func unpackOrder(packed []byte) TakenOrder {
	return TakenOrder{Digest: binary.BigEndian.Uint64(packed), Number: binary.BigEndian.Uint64(packed[8:])}
}

// All iterates over the orders that are remembered, the oldest first.
//
//	for order := range view.RoutingOrders.All() { ... }
func (history *OrderHistory) All() iter.Seq[TakenOrder] {
	return func(yield func(TakenOrder) bool) {
		for packed := history.Packed; len(packed) >= packedOrder; packed = packed[packedOrder:] {
			if !yield(unpackOrder(packed)) {
				return
			}
		}
	}
}

// OrderDigest identifies an order by the parts of what its operator sent.
//
//	digest := feed.OrderDigest("root", "put config", "7", source)
func OrderDigest(parts ...string) uint64 {
	sum := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return binary.BigEndian.Uint64(sum[:8])
}

// Empty tells that no order is remembered.
//
//	if view.RoutingOrders.Empty() { ... }
func (history *OrderHistory) Empty() bool { return len(history.Packed) == 0 }

// Took finds the number that an order was given.
//
//	if number, taken := view.FeedOrders.Took(digest); taken { ... }
func (history *OrderHistory) Took(digest uint64) (uint64, bool) {
	for order := range history.All() {
		if order.Digest == digest {
			return order.Number, true
		}
	}
	return 0, false
}

// MayHaveForgotten tells whether an order that would have been given a number, or a
// higher one, may have been carried out and forgotten.
//
//	if view.RoutingOrders.MayHaveForgotten(revision) { ... }
func (history *OrderHistory) MayHaveForgotten(number uint64) bool {
	return number <= history.Forgotten
}

// With gives the history with more orders, of which the oldest are forgotten.
//
//	view.RoutingOrders = view.RoutingOrders.With(change.RoutingOrders...)
func (history OrderHistory) With(orders ...TakenOrder) OrderHistory {
	if len(orders) == 0 {
		return history
	}
	packed := make([]byte, 0, len(history.Packed)+len(orders)*packedOrder)
	packed = append(packed, history.Packed...)
	for _, order := range orders {
		packed = order.pack(packed)
	}
	for len(packed) > ordersKept*packedOrder {
		history.Forgotten = max(history.Forgotten, unpackOrder(packed).Number)
		packed = packed[packedOrder:]
	}
	history.Packed = packed
	return history
}

func (history *OrderHistory) same(other *OrderHistory) bool {
	return history.Forgotten == other.Forgotten && bytes.Equal(history.Packed, other.Packed)
}

// recordOrders remembers the orders that a change carries out.
func (view *View) recordOrders(change Change) {
	view.RoutingOrders = view.RoutingOrders.With(change.RoutingOrders...)
	view.RoutingOrders.Forgotten = max(view.RoutingOrders.Forgotten, change.RoutingForgotten)
	if change.FeedOrder != 0 {
		view.FeedOrders = view.FeedOrders.With(TakenOrder{Digest: change.FeedOrder, Number: change.Number})
	}
}

// WithoutOrders gives the view as those need it who take no orders.
//
//	answer.View = state.view.WithoutOrders()
func (view *View) WithoutOrders() View {
	bare := *view
	bare.RoutingOrders, bare.FeedOrders = OrderHistory{}, OrderHistory{}
	return bare
}
