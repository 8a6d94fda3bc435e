package front

import (
	"context"

	"github.com/apex/log"

	"yardrock.example/system/balancer"
	"yardrock.example/system/config"
	"yardrock.example/system/feed"
	"yardrock.example/system/forwarding"
)

// activeConfig is a view with its decoded config. It is replaced whole.
type activeConfig struct {
	view   *feed.View
	config *config.Config
}

// View gives the newest view held here, fresh or not.
//
//	view := node.View()
func (node *Node) View() *feed.View { return node.active.Load().view }

// applyView decodes a newer view's config and puts both in force.
func (node *Node) applyView(view *feed.View) error {
	decoded := node.active.Load().config
	if view.ConfigNumber != node.active.Load().view.ConfigNumber || view.Fleet != node.active.Load().view.Fleet {
		var err error
		if decoded, err = config.Decode(view.Compiled); err != nil {
			log.WithFields(log.Fields{"node": node.name, "number": view.Number, "error": err.Error()}).Error("config_unreadable")
			return err
		}
	}
	node.active.Store(&activeConfig{view: view, config: decoded})
	node.updateBalancer()
	log.WithFields(log.Fields{"node": node.name, "number": view.Number, "config": view.ConfigNumber}).Info("view applied")
	return nil
}

// checkViewFresh tells whether the view held may be acted on.
func (node *Node) checkViewFresh() error {
	_, err := node.feedClient.Fresh()
	return err
}

// awaitViewFresh is fresh for a query that can wait until the view was confirmed anew, as
// after an outage of all control nodes.
func (node *Node) awaitViewFresh(ctx context.Context) error {
	_, err := node.feedClient.AwaitFresh(ctx, viewFreshTimeout)
	return err
}

// activeRouting gives the routes in force.
func (node *Node) activeRouting() forwarding.ActiveConfig {
	rules := node.active.Load()
	return forwarding.ActiveConfig{View: rules.view, Routing: rules.config.Routing, SharedPrefixes: rules.config.SharedPrefixes}
}

// updateBalancer tells the balancer what is in force and how many fronts share the runners.
func (node *Node) updateBalancer() {
	rules := node.active.Load()
	if rules.config.Routing == nil {
		return
	}
	fronts := *node.frontNames.Load()
	node.balancer.Update(balancer.State{View: rules.view, Routing: rules.config.Routing, FrontCount: len(fronts), FrontName: node.name, FrontNames: fronts})
	node.pool.Retain(rules.view.Runners)
}

// Bounds tells what callers of forwarded queries may send; all is 0 while no routes are
// in force.
//
//	longest := node.Bounds().BodyBytes
func (node *Node) Bounds() config.Bounds {
	if routing := node.active.Load().config.Routing; routing != nil {
		return routing.Bounds
	}
	return config.Bounds{}
}
