package controlplane

import (
	"context"
	"slices"

	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// saveControlAddresses keeps on disk where the control nodes are, so that they find each other
// when all start again, whatever their seeds say.
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

// discoverControls lists where control nodes may be: as noted on disk, and as the seeds
// tell.
func (node *Node) discoverControls() []string {
	addresses := []string{}
	for _, member := range node.savedControls {
		addresses = append(addresses, member.Address)
	}
	for _, seed := range *node.seeds.Load() {
		ctx, cancel := context.WithTimeout(node.context, gossipInterval)
		reply, err := node.client.Call(ctx, seed, &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}})
		cancel()
		if err != nil || reply.Status == nil {
			continue
		}
		if reply.Status.Role == feed.RoleControl {
			addresses = append(addresses, reply.Status.Address)
		}
		for _, member := range reply.Status.Controls {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}
