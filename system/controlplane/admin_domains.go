package controlplane

import (
	"context"
	"fmt"
	"time"

	"yardrock.example/system/api/gen/administration"
	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
)

// SetDomain drains a domain or returns it to service.
func (service adminService) SetDomain(ctx context.Context, payload *administration.SetDomainPayload) (*administration.Changed, error) {
	ctx, cancel, operator, err := service.beginRequest(ctx, payload.Authorization, administrationTimeout)
	defer cancel()
	if err != nil {
		return nil, err
	}
	request := newAdminRequest(operator.name, nil, "domain", payload.Name, payload.State)
	return changeResult(service.node.execute(ctx, func(view *feed.View) (decision, error) {
		return request.decide(view, nil, func() (*feed.Change, error) {
			return planDomain(view, payload.Name, payload.State, payload.Force)
		})
	}))
}

// planDomain plans the change that drains a domain or returns it to service, nil if the domain
// is in that state already. The last serving domain is drained only if force is set.
func planDomain(view *feed.View, name, state string, force bool) (*feed.Change, error) {
	if view.DomainDrained(name) == (state == feed.StateDrained) {
		return nil, nil
	}
	if state == feed.StateDrained && !force && isLastServing(view, name) {
		return nil, apierror.New(apierror.Conflict, name+" is the last serving domain", "refill another domain first, or use force")
	}
	return &feed.Change{Kind: feed.ChangeDomain, Expects: true, Expected: view.Number, Domain: feed.Domain{Name: name, State: state, Since: time.Now().UnixNano()}}, nil
}

// isLastServing reports whether every runner outside a domain is in a drained domain.
func isLastServing(view *feed.View, name string) bool {
	for _, runner := range view.Runners {
		if runner.Domain != name && !view.DomainDrained(runner.Domain) {
			return false
		}
	}
	return true
}

// SetDomainState drains a domain, even the last serving one, or returns it to service, and returns
// once the new state is acknowledged. If the domain is in that state already, it returns once the
// current view is acknowledged. The error is Invalid if the state is neither feed.StateServing nor
// feed.StateDrained.
//
//	err := node.SetDomainState(ctx, "root", "east", feed.StateDrained)
func (node *Node) SetDomainState(ctx context.Context, by, name, state string) error {
	if state != feed.StateServing && state != feed.StateDrained {
		return apierror.New(apierror.Invalid, fmt.Sprintf("%q is not a domain state", state), "use serving or emptied")
	}
	_, err := node.execute(ctx, func(view *feed.View) (decision, error) {
		change, err := planDomain(view, name, state, true)
		if err != nil || change == nil {
			return decision{acceptedAs: view.Number}, err
		}
		change.By = by
		return decision{change: change}, nil
	})
	return err
}
