package controlplane

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"cuelang.org/go/cue/format"
	cuejson "cuelang.org/go/encoding/json"
	goahttp "goa.design/goa/v3/http"

	"yardrock.example/system/api/gen/administration"
	administrationserver "yardrock.example/system/api/gen/http/administration/server"
	"yardrock.example/system/charter"
	"yardrock.example/system/feed"
	"yardrock.example/system/httpface"
	"yardrock.example/system/mishap"
	"yardrock.example/system/wire"
)

const (
	administrationPatience = 5 * time.Second
	retirePatience         = 2 * time.Minute
	largestCharter         = 8 << 20
)

// Administration is the operators' HTTP interface of a control node.
type Administration struct {
	node *Node
	root string
}

// Serve answers operators. RootHash is the hash of a token that may administer
// while no charter names operators.
//
//	server, err := controlplane.Serve(node, rootHash)
func Serve(node *Node, rootHash string) (*httpface.Server, error) {
	listener, err := node.network.Listen(node.settings.Administration)
	if err != nil {
		return nil, mishap.New(mishap.BadSettings, "cannot listen on "+node.settings.Administration+": "+err.Error(), "use an address of this machine that is free")
	}
	return httpface.Serve(listener, Administration{node: node, root: rootHash}.handler(), func() int64 { return largestCharter }), nil
}

func (service Administration) handler() http.Handler {
	mux := goahttp.NewMuxer()
	decoder, encoder := goahttp.RequestDecoder, goahttp.ResponseEncoder
	administrationserver.Mount(mux, administrationserver.New(administration.NewEndpoints(service), mux, decoder, encoder, nil, httpface.Format))
	httpface.MountHealth(mux, service.node.Ready)
	return mux
}

// asked bounds a query's time and finds the operator who asks.
func (service Administration) asked(ctx context.Context, header *string, patience time.Duration) (context.Context, context.CancelFunc, string, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	by, err := service.operator(header)
	return ctx, cancel, by, err
}

// operator finds who asks.
func (service Administration) operator(header *string) (string, error) {
	token, err := httpface.Token(header)
	if err != nil {
		return "", err
	}
	made, err := service.node.charterOf(service.node.View())
	if err != nil {
		return "", err
	}
	if name, known := charter.PartyOf(made.Operators, token); known {
		return name, nil
	}
	if len(made.Operators) == 0 && charter.Hash(token) == service.root {
		return "root", nil
	}
	return "", mishap.New(mishap.Unauthorized, "the token belongs to no operator", "send a token of an operator that the charter names, or the root token while it names none")
}

// newest reads the view by a quorum, wherever the leader is.
func (service Administration) newest(ctx context.Context) (*feed.View, error) {
	return service.node.confirmedView(ctx)
}

func (service Administration) change(ctx context.Context, change feed.Change) (*administration.Changed, error) {
	return changedBy(service.node.Change(ctx, change))
}

func changedBy(reply *wire.ChangeReply, err error) (*administration.Changed, error) {
	if err != nil {
		return nil, unreachable(err)
	}
	return &administration.Changed{Number: reply.Number, Acknowledged: reply.Acknowledged}, nil
}

// PutCharter puts a whole charter.
func (service Administration) PutCharter(ctx context.Context, payload *administration.PutCharterPayload) (*administration.Changed, error) {
	ctx, cancel, by, err := service.asked(ctx, payload.Authorization, administrationPatience)
	defer cancel()
	if err != nil {
		return nil, err
	}
	return service.putCharter(ctx, by, payload.Source, payload.Expected)
}

func (service Administration) putCharter(ctx context.Context, by, source string, expected uint64) (*administration.Changed, error) {
	made, _, err := charter.Compile(source)
	if err != nil {
		return nil, err
	}
	view, err := service.newest(ctx)
	if err != nil {
		return nil, err
	}
	if expected != view.CharterNumber {
		return nil, mishap.New(mishap.Conflict, fmt.Sprintf("expected charter %d, but %d is in force", expected, view.CharterNumber), "read what is in force and decide anew")
	}
	compiled, err := service.node.keepRouting(view, made)
	if err != nil {
		return nil, err
	}
	return service.change(ctx, feed.Change{Kind: feed.ChangeCharter, By: by, Expects: true, Expected: expected, Source: source, Compiled: compiled})
}

// Set changes one value of the charter and writes it anew.
func (service Administration) Set(ctx context.Context, payload *administration.SetPayload) (*administration.Changed, error) {
	ctx, cancel, by, err := service.asked(ctx, payload.Authorization, administrationPatience)
	defer cancel()
	if err != nil {
		return nil, err
	}
	for {
		view, err := service.newest(ctx)
		if err != nil {
			return nil, err
		}
		expected := view.CharterNumber
		if payload.Expected != nil {
			expected = *payload.Expected
		}
		source, err := withValue(view.Compiled, payload.Path, payload.Value)
		if err != nil {
			return nil, err
		}
		changed, err := service.putCharter(ctx, by, source, expected)
		if payload.Expected == nil && mishap.Is(err, mishap.Conflict) && ctx.Err() == nil {
			continue // another operator was faster; change what is in force now
		}
		return changed, err
	}
}

// withValue gives the charter's source with one value replaced.
func withValue(compiled []byte, path string, value any) (string, error) {
	whole := map[string]any{}
	if len(compiled) > 0 {
		if err := json.Unmarshal(compiled, &whole); err != nil {
			return "", err
		}
	}
	steps := strings.Split(path, ".")
	at := whole
	for _, step := range steps[:len(steps)-1] {
		next, found := at[step].(map[string]any)
		if !found {
			return "", mishap.New(mishap.Invalid, fmt.Sprintf("the charter has nothing at %s (no %q)", path, step), "read the charter and name a path that is in it")
		}
		at = next
	}
	at[steps[len(steps)-1]] = value
	data, err := json.Marshal(whole)
	if err != nil {
		return "", err
	}
	expression, err := cuejson.Extract("charter.json", data)
	if err != nil {
		return "", err
	}
	source, err := format.Node(expression)
	return string(source), err
}

// ReadCharter reads the newest charter back.
func (service Administration) ReadCharter(ctx context.Context, payload *administration.ReadCharterPayload) (*administration.ReadCharterResult, error) {
	ctx, cancel, _, err := service.asked(ctx, payload.Authorization, administrationPatience)
	defer cancel()
	if err != nil {
		return nil, err
	}
	view, err := service.newest(ctx)
	if err != nil {
		return nil, err
	}
	return &administration.ReadCharterResult{Number: view.CharterNumber, Source: view.Source}, nil
}

// SetDomain empties or refills a domain.
func (service Administration) SetDomain(ctx context.Context, payload *administration.SetDomainPayload) (*administration.Changed, error) {
	ctx, cancel, by, err := service.asked(ctx, payload.Authorization, administrationPatience)
	defer cancel()
	if err != nil {
		return nil, err
	}
	view, err := service.newest(ctx)
	if err != nil {
		return nil, err
	}
	if payload.State == feed.Emptied && !payload.Force && lastServing(view, payload.Name) {
		return nil, mishap.New(mishap.Conflict, payload.Name+" is the last domain that serves", "refill another domain first, or say force")
	}
	change := domainChange(view, payload.Name, payload.State)
	change.By = by
	return service.change(ctx, change)
}

func lastServing(view *feed.View, name string) bool {
	for _, runner := range view.Runners {
		if runner.Domain != name && !view.DomainEmptied(runner.Domain) {
			return false
		}
	}
	return true
}

// EnrolStore puts a live store into the store list.
func (service Administration) EnrolStore(ctx context.Context, payload *administration.EnrolStorePayload) (*administration.Changed, error) {
	ctx, cancel, by, err := service.asked(ctx, payload.Authorization, administrationPatience)
	defer cancel()
	if err != nil {
		return nil, err
	}
	return changedBy(service.node.EnrolStore(ctx, by, payload.Name))
}

// RetireStore empties a store and answers once its machine may be switched off.
func (service Administration) RetireStore(ctx context.Context, payload *administration.RetireStorePayload) (*administration.Changed, error) {
	ctx, cancel, by, err := service.asked(ctx, payload.Authorization, retirePatience)
	defer cancel()
	if err != nil {
		return nil, err
	}
	return changedBy(service.node.RetireStore(ctx, by, payload.Name))
}

// Fleet tells who is there and what is in force.
func (service Administration) Fleet(ctx context.Context, payload *administration.FleetPayload) (any, error) {
	ctx, cancel, _, err := service.asked(ctx, payload.Authorization, administrationPatience)
	defer cancel()
	if err != nil {
		return nil, err
	}
	view, err := service.newest(ctx)
	if err != nil {
		return nil, err
	}
	live := service.node.Live()
	sort.Slice(live, func(left, right int) bool {
		return live[left].Role+live[left].Domain < live[right].Role+live[right].Domain
	})
	unhealed := service.node.unhealed(ctx, view)
	return map[string]any{
		"unhealed_groups": unhealed, "fleet": view.Fleet, "number": view.Number, "charter_number": view.CharterNumber, "groups": view.Groups,
		"leader": service.node.host.Statuses()[controlGroup].Leader, "members": live, "stores": view.Stores, "controls": view.Controls,
		"domains": view.Domains, "runners": view.Runners, "duties": view.Duties,
	}, nil
}
