package controlplane

import (
	"context"
	"slices"

	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// controlAddressesKey is the key of the stored addresses of the control nodes. Stored values
// share their key space with group numbers, so the key is above all group numbers.
const controlAddressesKey = 1 << 31

// saveControlAddresses stores the addresses of the control nodes on disk, so that they find each
// other after all restart, even if their seeds are outdated. Only the gossip task calls it.
func (node *Node) saveControlAddresses() {
	view := node.View()
	if !node.Ready() || len(view.Controls) == 0 || slices.Equal(view.Controls, node.savedControls) {
		return
	}
	ctx, cancel := context.WithTimeout(node.context, callTimeout)
	defer cancel()
	if err := node.host.StoreValue(ctx, controlAddressesKey, wire.MustEncode(schema.View_TypeID, &feed.View{Controls: view.Controls})); err == nil {
		node.savedControls = view.Controls
	}
}

// discoverControls returns candidate addresses of control nodes: those stored on disk and those
// reported by the seeds.
func (node *Node) discoverControls() []string {
	addresses := []string{}
	for _, member := range node.savedControls {
		addresses = append(addresses, member.Address)
	}
	for _, seed := range *node.seeds.Load() {
		status, err := node.queryStatus(node.context, seed, gossipInterval, wire.StatusQuery{})
		if err != nil {
			continue
		}
		if status.Role == feed.RoleControl {
			addresses = append(addresses, status.Address)
		}
		for _, member := range status.Controls {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}
