package controlplane

import (
	"cmp"
	"context"
	"slices"
	"strings"

	"yardrock.example/system/api/gen/administration"
	"yardrock.example/system/feed"
)

// EnrolStore adds a live store to the store list.
func (service adminService) EnrolStore(ctx context.Context, payload *administration.EnrolStorePayload) (*administration.Changed, error) {
	ctx, cancel, operator, err := service.beginRequest(ctx, payload.Authorization, administrationTimeout)
	defer cancel()
	if err != nil {
		return nil, err
	}
	return changeResult(service.node.enrolStore(ctx, operator.name, payload.Name))
}

// RetireStore decommissions a store and returns once its machine may be switched off.
func (service adminService) RetireStore(ctx context.Context, payload *administration.RetireStorePayload) (*administration.Changed, error) {
	ctx, cancel, operator, err := service.beginRequest(ctx, payload.Authorization, decommissionTimeout)
	defer cancel()
	if err != nil {
		return nil, err
	}
	return changeResult(service.node.decommissionStore(ctx, operator.name, payload.Name))
}

// Fleet returns the live members and the main parts of the current view.
func (service adminService) Fleet(ctx context.Context, payload *administration.FleetPayload) (any, error) {
	ctx, cancel, operator, err := service.beginRequest(ctx, payload.Authorization, administrationTimeout)
	defer cancel()
	if err != nil {
		return nil, err
	}
	view := operator.state.view
	members := service.node.liveMembers()
	slices.SortFunc(members, func(left, right feed.Member) int {
		return cmp.Or(strings.Compare(left.Role, right.Role), strings.Compare(left.Domain, right.Domain))
	})
	unhealed := service.node.countUnhealedGroups(ctx, view)
	return map[string]any{
		"unhealed_groups": unhealed, "fleet": view.Fleet, "number": view.Number, "config_number": view.ConfigNumber, "groups": view.Groups,
		"leader": service.node.host.Statuses()[controlGroup].Leader, "members": members, "stores": view.Stores, "controls": view.Controls,
		"domains": view.Domains, "runners": view.Runners, "assignments": view.RoleLeases,
	}, nil
}
