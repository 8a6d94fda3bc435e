package front

import (
	"context"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/balancer"
	"yardrock.example/system/config"
	"yardrock.example/system/feed"
	"yardrock.example/system/forwarding"
)

// viewFreshTimeout is how long after its view was fresh last, or after its start, a front
// lets requests wait for a fresh view rather than reject them.
const viewFreshTimeout = 1500 * time.Millisecond

// activeConfig is a view with its decoded configuration. It is immutable; a newer one
// replaces it as a whole.
type activeConfig struct {
	view   *feed.View
	config *config.Config
}

// View returns the newest view that the node has, fresh or not.
//
//	view := node.View()
func (node *Node) View() *feed.View { return node.active.Load().view }

// applyView decodes a newer view's configuration and puts both in force. An error leaves
// the earlier ones in force.
func (node *Node) applyView(view *feed.View) error {
	decoded := node.active.Load().config
	if view.ConfigNumber != node.active.Load().view.ConfigNumber || view.Fleet != node.active.Load().view.Fleet {
		var err error
		if decoded, err = config.Decode(view.Compiled); err != nil {
			log.WithFields(log.Fields{"node": node.name, "number": view.Number, "error": err.Error()}).Error("configuration of a view is unreadable")
			return err
		}
	}
	node.active.Store(&activeConfig{view: view, config: decoded})
	node.updateBalancer()
	log.WithFields(log.Fields{"node": node.name, "number": view.Number, "config": view.ConfigNumber}).Info("view applied")
	return nil
}

// checkViewFresh returns an error while the view is too old to be acted on.
func (node *Node) checkViewFresh() error {
	_, err := node.feedClient.Fresh()
	return err
}

// awaitViewFresh is checkViewFresh for a request that can wait until the view is confirmed
// again, as after an outage of all control nodes.
func (node *Node) awaitViewFresh(ctx context.Context) error {
	_, err := node.feedClient.AwaitFresh(ctx, viewFreshTimeout)
	return err
}

// activeRouting returns the part of the configuration in force that forwarding needs.
func (node *Node) activeRouting() forwarding.ActiveConfig {
	active := node.active.Load()
	return forwarding.ActiveConfig{View: active.view, Routing: active.config.Routing, SharedPrefixes: active.config.SharedPrefixes}
}

// updateBalancer gives the balancer the configuration in force and the fronts that share
// the runners, and closes connections to runners that are no longer listed.
func (node *Node) updateBalancer() {
	active := node.active.Load()
	if active.config.Routing == nil {
		return
	}
	fronts := *node.frontNames.Load()
	node.balancer.Update(balancer.State{View: active.view, Routing: active.config.Routing, FrontCount: len(fronts), FrontName: node.name, FrontNames: fronts})
	node.pool.Retain(active.view.Runners)
}

// Bounds returns the limits for callers of forwarded requests; all fields are 0 while no
// routes are in force.
//
//	maxBody := node.Bounds().BodyBytes
func (node *Node) Bounds() config.Bounds {
	if routing := node.active.Load().config.Routing; routing != nil {
		return routing.Bounds
	}
	return config.Bounds{}
}
