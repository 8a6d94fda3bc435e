package controlplane

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/charter"
	"yardrock.example/system/feed"
	"yardrock.example/system/placement"
)

// RosterDuty is the key of the duty that polls the platform's runner list.
const RosterDuty = "roster"

const rosterPatience = 3 * time.Second

type rosterState struct {
	once   sync.Once
	client *http.Client
	due    time.Time
	// serving is since when this node, while it has held the duty under this fence,
	// has seen each runner serve, by its steady clock.
	serving map[string]time.Time
	fence   uint64
}

// runDuties takes the duties that the live control nodes' ranking gives this
// node, under the next fence, and does those that it holds.
func (node *Node) runDuties() {
	places := []placement.Place{}
	for _, member := range node.Live() {
		if member.Role == feed.RoleControl {
			places = append(places, placement.Place{Name: member.Name, Domain: member.Domain})
		}
	}
	view := node.View()
	if view.Number == 0 || placement.Ranked(RosterDuty, places)[0].Name != node.Name() {
		return
	}
	ctx, cancel := context.WithTimeout(node.context, callPatience+rosterPatience)
	defer cancel()
	held := view.DutyOf(RosterDuty)
	if held.Owner != node.Name() {
		node.propose(ctx, feed.Change{Kind: feed.ChangeDuty, By: node.Name(), Duty: feed.Duty{Key: RosterDuty, Owner: node.Name(), Fence: held.Fence + 1}})
		return
	}
	node.pollRoster(ctx, view, held)
}

type rosterList struct {
	Runners []struct {
		Address string `json:"address"`
		Group   string `json:"group"`
		Domain  string `json:"domain"`
		State   string `json:"state"`
	} `json:"runners"`
}

// pollRoster asks the platform's list, keeps away as long as it says so, and
// puts what changed on the feed under the duty's fence.
func (node *Node) pollRoster(ctx context.Context, view *feed.View, held feed.Duty) {
	made, err := charter.Decode(view.Compiled)
	if err != nil || made.Platform.RunnerList == "" || time.Now().Before(node.roster.due) {
		return
	}
	node.roster.once.Do(func() {
		node.roster.client = &http.Client{Timeout: rosterPatience, Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return node.network.Dial(ctx, address) },
		}}
	})
	node.roster.due = time.Now().Add(time.Duration(made.Platform.Poll))
	query, err := http.NewRequestWithContext(ctx, http.MethodGet, made.Platform.RunnerList, nil)
	if err != nil {
		return
	}
	answer, err := node.roster.client.Do(query)
	if err != nil {
		log.WithFields(log.Fields{"node": node.Name(), "error": err.Error()}).Warn("roster_unreachable")
		return
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		if seconds, err := strconv.Atoi(answer.Header.Get("Retry-After")); err == nil {
			node.roster.due = time.Now().Add(time.Duration(seconds) * time.Second)
		}
		log.WithFields(log.Fields{"node": node.Name(), "status": answer.StatusCode}).Warn("roster_throttled")
		return
	}
	var list rosterList
	if err := json.NewDecoder(io.LimitReader(answer.Body, 4<<20)).Decode(&list); err != nil {
		log.WithFields(log.Fields{"node": node.Name(), "error": err.Error()}).Warn("roster_unreadable")
		return
	}
	if node.roster.fence != held.Fence {
		node.roster.fence, node.roster.serving = held.Fence, map[string]time.Time{}
	}
	runners := node.roster.merge(view.Runners, list, made.Groups, time.Now())
	if !slices.Equal(runners, view.Runners) {
		node.propose(ctx, feed.Change{Kind: feed.ChangeRoster, By: node.Name(), Duty: held, Runners: runners})
	}
}

// merge keeps since when each runner is in its state, and tells which have served
// for their group's ramp.
func (roster *rosterState) merge(before []feed.Runner, list rosterList, groups map[string]charter.Group, now time.Time) []feed.Runner {
	known := map[string]feed.Runner{}
	for _, runner := range before {
		known[runner.Address] = runner
	}
	runners := []feed.Runner{}
	for _, listed := range list.Runners {
		runner := feed.Runner{Address: listed.Address, Group: listed.Group, Domain: listed.Domain, State: listed.State, Since: now.UnixNano()}
		if old, found := known[runner.Address]; found && old.State == runner.State {
			runner.Since, runner.Warmed = old.Since, old.Warmed
		}
		since, seen := roster.serving[runner.Address]
		switch {
		case runner.State != feed.Serving:
			delete(roster.serving, runner.Address)
		case !seen:
			roster.serving[runner.Address] = now
		default:
			runner.Warmed = runner.Warmed || now.Sub(since) >= time.Duration(groups[runner.Group].Ramp)
		}
		runners = append(runners, runner)
	}
	return runners
}
