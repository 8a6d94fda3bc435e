package controlplane

import (
	"fmt"
	"strconv"

	"github.com/google/uuid"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
)

// adminRequest is an operator's order of the administration API. The digest of one that
// names the number it builds on is the same when it is sent again; any other is known
// again only while the node that it came to still tries to carry it out.
type adminRequest struct {
	operator  string
	statement string // as the feed tells it; may be empty
	digest    uint64
	expected  *uint64
}

// newAdminRequest makes the order that an operator asks for by parts.
func newAdminRequest(by string, expected *uint64, parts ...string) adminRequest {
	base := "any " + uuid.NewString()
	if expected != nil {
		base = strconv.FormatUint(*expected, 10)
	}
	return adminRequest{operator: by, expected: expected, digest: feed.RequestDigest(append([]string{by, base}, parts...)...)}
}

// decide finds what is left to do for an order on a view. The order may build on any of
// the numbers in force; plan makes its change, none if all is as it asks already.
func (request adminRequest) decide(view *feed.View, inForce []uint64, plan func() (*feed.Change, error)) (decision, error) {
	if number, taken := view.AdminRequests.NumberOf(request.digest); taken {
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
	if change == nil { // so that it is remembered under its number
		change = &feed.Change{Kind: feed.ChangeStores, Expects: true, Expected: view.Number, Members: view.Stores}
	}
	change.By, change.Statement = request.operator, request.statement
	if request.expected != nil || change.AdminRequest == 0 {
		change.AdminRequest = request.digest
	}
	return decision{change: change}, nil
}

// checkExpected refuses an order that builds on a number which is not in force.
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
