package controlplane

import (
	"fmt"
	"strconv"

	"github.com/google/uuid"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
)

// adminRequest is a request of the admin API that changes something. A request with an expected
// number has the same digest each time it is sent, so that a repeated request is recognized. Any
// other request gets a random digest, which is recognized only in the retries of the node that
// executes it.
type adminRequest struct {
	operator string
	// statement is the text of a query language statement; empty for other requests.
	statement string
	// digest identifies the request in the request history.
	digest uint64
	// expected is the number that the request builds on; nil if it has none.
	expected *uint64
}

// newAdminRequest returns an operator's request; parts are the contents that its digest covers.
// Expected is nil if the request does not build on a number.
func newAdminRequest(operator string, expected *uint64, parts ...string) adminRequest {
	base := "any " + uuid.NewString()
	if expected != nil {
		base = strconv.FormatUint(*expected, 10)
	}
	return adminRequest{operator: operator, expected: expected, digest: feed.RequestDigest(append([]string{operator, base}, parts...)...)}
}

// decide returns what remains to be done for a request on a view. The request may build on any
// of the current numbers. Plan returns its change, nil if the view already is as requested.
func (request adminRequest) decide(view *feed.View, currentNumbers []uint64, plan func() (*feed.Change, error)) (decision, error) {
	if number, accepted := view.AdminRequests.NumberOf(request.digest); accepted {
		return decision{acceptedAs: number}, nil
	}
	if err := request.checkExpected(view, currentNumbers); err != nil {
		return decision{}, err
	}
	change, err := plan()
	if err != nil {
		return decision{}, err
	}
	if change == nil && request.expected == nil {
		return decision{acceptedAs: view.Number}, nil
	}
	if change == nil {
		// A no-op change that records the request in the request history.
		change = newStoresChange(view, view.Stores)
	}
	change.By, change.Statement = request.operator, request.statement
	// A digest set by the plan (decommissionDigest) is kept, unless the request has an expected
	// number and with it a repeatable digest of its own.
	if request.expected != nil || change.AdminRequest == 0 {
		change.AdminRequest = request.digest
	}
	return decision{change: change}, nil
}

// checkExpected rejects a request that builds on a number which is not current.
func (request adminRequest) checkExpected(view *feed.View, currentNumbers []uint64) error {
	if request.expected == nil {
		return nil
	}
	for _, number := range currentNumbers {
		if *request.expected == number {
			return nil
		}
	}
	if view.AdminRequests.MayHaveEvicted(*request.expected + 1) {
		return evictedRequestError()
	}
	return apierror.New(apierror.Conflict, fmt.Sprintf("expected number %d, but the current number is %d (config %d)", *request.expected, view.Number, view.ConfigNumber), "read the current state and, if the change is still wanted, retry with the current number")
}
