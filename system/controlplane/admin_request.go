package controlplane

import (
	"fmt"
	"strconv"

	"github.com/google/uuid"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
)

// adminRequest is a request of the admin API that changes something. One that names the
// number it builds on has the same digest when it is sent again, so that it is recognised.
// Any other is recognised only while the node that received it still carries it out.
type adminRequest struct {
	operator string
	// statement is the statement of the query language, if it was one.
	statement string
	// digest identifies the request in the request history.
	digest uint64
	// expected is the number that the request builds on; nil if it names none.
	expected *uint64
}

// newAdminRequest makes a request of an operator from what was sent. Expected is nil if it
// names no number to build on.
func newAdminRequest(operator string, expected *uint64, parts ...string) adminRequest {
	base := "any " + uuid.NewString()
	if expected != nil {
		base = strconv.FormatUint(*expected, 10)
	}
	return adminRequest{operator: operator, expected: expected, digest: feed.RequestDigest(append([]string{operator, base}, parts...)...)}
}

// decide finds what is left to do for a request on a view. The request may build on any of
// the numbers in force. Plan makes its change, nil if everything is as requested already.
func (request adminRequest) decide(view *feed.View, inForce []uint64, plan func() (*feed.Change, error)) (decision, error) {
	if number, accepted := view.AdminRequests.NumberOf(request.digest); accepted {
		return decision{acceptedAs: number}, nil
	}
	if err := request.checkExpected(view, inForce); err != nil {
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
		// A change that changes nothing: the request needs a number under which it is remembered.
		change = newStoresChange(view, view.Stores)
	}
	change.By, change.Statement = request.operator, request.statement
	// A digest that the plan chose (decommissionDigest) stays, unless the request names a number
	// and so has a digest by which it can be recognised itself.
	if request.expected != nil || change.AdminRequest == 0 {
		change.AdminRequest = request.digest
	}
	return decision{change: change}, nil
}

// checkExpected rejects a request that builds on a number which is not in force.
func (request adminRequest) checkExpected(view *feed.View, inForce []uint64) error {
	if request.expected == nil {
		return nil
	}
	for _, number := range inForce {
		if *request.expected == number {
			return nil
		}
	}
	if view.AdminRequests.MayHaveForgotten(*request.expected + 1) {
		return forgottenRequestError()
	}
	return apierror.New(apierror.Conflict, fmt.Sprintf("expected number %d, but %d is in force (config %d)", *request.expected, view.Number, view.ConfigNumber), "read what is in force and decide anew")
}
