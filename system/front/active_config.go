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

// viewFreshTimeout is how long after its view was last fresh, or after its start, a front lets
// requests wait for a fresh view instead of rejecting them.
const viewFreshTimeout = 1500 * time.Millisecond

// currentConfig is a view with its decoded config. It is immutable; a newer one replaces it as a
// whole.
type currentConfig struct {
	view   *feed.View
	config *config.Config
}

// View returns the current view, fresh or not.
//
//	view := node.View()
func (node *Node) View() *feed.View { return node.current.Load().view }

// applyView decodes the config of a newer view and makes both current. On an error the previous
// ones stay current.
func (node *Node) applyView(view *feed.View) error {
	decoded := node.current.Load().config
	if view.ConfigNumber != node.current.Load().view.ConfigNumber || view.Fleet != node.current.Load().view.Fleet {
		var err error
		if decoded, err = config.Decode(view.Compiled); err != nil {
			log.WithFields(log.Fields{"node": node.name, "number": view.Number, "error": err.Error()}).Error("cannot decode the config of a view")
			return err
		}
	}
	node.current.Store(&currentConfig{view: view, config: decoded})
	node.updateBalancer()
	log.WithFields(log.Fields{"node": node.name, "number": view.Number, "config": view.ConfigNumber}).Info("view applied")
	return nil
}

// checkViewFresh returns an error while the view is not fresh.
func (node *Node) checkViewFresh() error {
	_, err := node.feedClient.Fresh()
	return err
}

// awaitViewFresh is checkViewFresh for a request that can wait until the view is confirmed
// again, for example after an outage of all control nodes.
func (node *Node) awaitViewFresh(ctx context.Context) error {
	_, err := node.feedClient.AwaitFresh(ctx, viewFreshTimeout)
	return err
}

// forwardingConfig returns the part of the current config that forwarding needs.
func (node *Node) forwardingConfig() forwarding.CurrentConfig {
	current := node.current.Load()
	return forwarding.CurrentConfig{View: current.view, Routing: current.config.Routing, SharedPrefixes: current.config.SharedPrefixes}
}

// updateBalancer passes the current config and the fronts that share the runners to the
// balancer, and closes the connections to runners that are no longer listed.
func (node *Node) updateBalancer() {
	current := node.current.Load()
	if current.config.Routing == nil {
		return
	}
	fronts := *node.frontNames.Load()
	node.balancer.Update(balancer.State{View: current.view, Routing: current.config.Routing, FrontCount: len(fronts), FrontName: node.name, FrontNames: fronts})
	node.pool.Retain(current.view.Runners)
}

// Bounds returns the limits for clients of forwarded requests; all fields are 0 while there are
// no routes.
//
//	maxBody := node.Bounds().BodyBytes
func (node *Node) Bounds() config.Bounds {
	if routing := node.current.Load().config.Routing; routing != nil {
		return routing.Bounds
	}
	return config.Bounds{}
}
