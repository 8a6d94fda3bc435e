package controlplane

import (
	"context"
	"fmt"
	"time"

	"yardrock.example/system/charter"
	"yardrock.example/system/feed"
	"yardrock.example/system/mishap"
	"yardrock.example/system/wire"
)

const (
	// An order is tried again by a new leader rather than held by one that hangs.
	attemptPatience = 600 * time.Millisecond
	attemptPause    = 50 * time.Millisecond
)

// decodedCharter is the charter of one number, decoded once.
type decodedCharter struct {
	fleet  string
	number uint64
	made   *charter.Charter
}

// charterOf decodes a view's charter, or takes the one that was decoded last.
func (node *Node) charterOf(view *feed.View) (*charter.Charter, error) {
	if last := node.decoded.Load(); last != nil && last.fleet == view.Fleet && last.number == view.CharterNumber {
		return last.made, nil
	}
	made, err := charter.Decode(view.Compiled)
	if err != nil {
		return nil, err
	}
	node.decoded.Store(&decodedCharter{view.Fleet, view.CharterNumber, made})
	return made, nil
}

// keepRouting compiles a charter that an operator wrote with the routing in force.
func (node *Node) keepRouting(view *feed.View, made *charter.Charter) ([]byte, error) {
	inForce, err := node.charterOf(view)
	if err != nil {
		return nil, err
	}
	return made.KeepRouting(inForce)
}

// carryOut brings an order to its acknowledgement, over changes of the leader, until the
// context ends. Decide looks at what is in force: it gives the change to make, none if
// the order was carried out already, or why the order is refused.
func (node *Node) carryOut(ctx context.Context, decide func(view *feed.View) (*feed.Change, error)) (*wire.ChangeReply, error) {
	failed := noQuorum()
	for {
		reply, refused, err := node.attempt(ctx, decide)
		switch {
		case refused != nil:
			return nil, refused
		case err == nil && reply.Acknowledged:
			return reply, nil
		case err == nil:
			failed = unclearChange()
		case !mishap.Is(failed, mishap.Unclear):
			failed = err
		}
		select {
		case <-time.After(attemptPause):
		case <-ctx.Done():
			return nil, unacknowledged(failed)
		}
	}
}

// attempt looks at what is in force, and makes the change that it asks for.
func (node *Node) attempt(ctx context.Context, decide func(view *feed.View) (*feed.Change, error)) (reply *wire.ChangeReply, refused, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptPatience)
	defer cancel()
	view, err := node.confirmedView(ctx)
	if err != nil {
		return nil, nil, err
	}
	change, refused := decide(view)
	if refused != nil {
		return nil, refused, nil
	}
	if change == nil {
		reply, err = node.Await(ctx, view.Number)
	} else {
		reply, err = node.Change(ctx, *change)
	}
	return reply, nil, err
}

// unacknowledged tells that an order may be sent again: only what was decided on a view
// refuses it for good.
func unacknowledged(err error) error {
	if failed := mishap.Of(err); failed.Kind == mishap.Unclear || failed.Kind == mishap.NoQuorum {
		return err
	}
	return mishap.Later(mishap.NoQuorum, "the order was not acknowledged in time: "+mishap.Of(err).Message, "send the same order again, to any control node", time.Second)
}

// ReplaceRouting puts a whole routing in force, in place of that of the revision base (0
// if there is none yet), and returns once it is acknowledged. Digest names the order:
// the same one sent again is acknowledged again. Conflict tells that another revision
// is in force, Invalid what is wrong with this one; at the end of the context Unclear
// tells that it may have been taken, NoQuorum that nobody could say: send it again.
//
//	err := node.ReplaceRouting(ctx, "root", 5, charter.Routing{Revision: 7, Routes: routes, Services: services}, digest)
func (node *Node) ReplaceRouting(ctx context.Context, by string, base uint64, next charter.Routing, digest string) error {
	if err := next.Check(); err != nil {
		return err
	}
	return node.changeRouting(ctx, by, base, digest, func(*charter.Routing) (charter.Routing, error) { return next, nil })
}

// AmendRouting changes the routing of the revision base by names, and returns once that
// is acknowledged, as ReplaceRouting does.
//
//	err := node.AmendRouting(ctx, "root", 7, charter.Amendment{Revision: 9, RemoveRoutes: []string{"old"}}, digest)
func (node *Node) AmendRouting(ctx context.Context, by string, base uint64, amendment charter.Amendment, digest string) error {
	return node.changeRouting(ctx, by, base, digest, func(inForce *charter.Routing) (charter.Routing, error) { return inForce.Amended(amendment) })
}

func (node *Node) changeRouting(ctx context.Context, by string, base uint64, digest string, make func(inForce *charter.Routing) (charter.Routing, error)) error {
	_, err := node.carryOut(ctx, func(view *feed.View) (*feed.Change, error) {
		made, err := node.charterOf(view)
		if err != nil {
			return nil, err
		}
		if _, taken := made.Routing.Took(digest); taken {
			return nil, nil
		}
		if inForce := made.Routing.Revised(); inForce != base {
			return nil, mishap.New(mishap.Conflict, fmt.Sprintf("the routing builds on revision %d, but %d is in force", base, inForce), "read what is in force and decide anew")
		}
		if len(view.Compiled) == 0 {
			if made, _, err = charter.Compile(""); err != nil {
				return nil, err
			}
		}
		next, err := make(made.Routing)
		if err != nil {
			return nil, err
		}
		_, compiled, err := made.WithRouting(next, digest)
		if err != nil {
			return nil, err
		}
		return &feed.Change{Kind: feed.ChangeCharter, By: by, Expects: true, Expected: view.CharterNumber, Source: view.Source, Compiled: compiled}, nil
	})
	return err
}

// ReadRouting reads the newest routing, confirmed by a quorum; its revision is 0 if there
// is none yet.
//
//	routing, err := node.ReadRouting(ctx)
func (node *Node) ReadRouting(ctx context.Context) (*charter.Routing, error) {
	for {
		limited, cancel := context.WithTimeout(ctx, attemptPatience)
		view, err := node.confirmedView(limited)
		cancel()
		if err == nil {
			made, err := node.charterOf(view)
			if err != nil {
				return nil, err
			}
			if made.Routing == nil {
				return &charter.Routing{}, nil
			}
			return made.Routing, nil
		}
		select {
		case <-time.After(attemptPause):
		case <-ctx.Done():
			return nil, unacknowledged(err)
		}
	}
}

// SetDomainState empties or refills a domain and returns once that is acknowledged; if it
// is in that state already, once it is known that this was.
//
//	err := node.SetDomainState(ctx, "root", "east", feed.Emptied)
func (node *Node) SetDomainState(ctx context.Context, by, name, state string) error {
	if state != feed.Serving && state != feed.Emptied {
		return mishap.New(mishap.Invalid, fmt.Sprintf("%q is no state of a domain", state), "use serving or emptied")
	}
	_, err := node.carryOut(ctx, func(view *feed.View) (*feed.Change, error) {
		if view.DomainEmptied(name) == (state == feed.Emptied) {
			return nil, nil
		}
		change := domainChange(view, name, state)
		change.By = by
		return &change, nil
	})
	return err
}
