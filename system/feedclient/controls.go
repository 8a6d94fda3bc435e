package feedclient

import (
	"context"
	"slices"
	"time"

	"yardrock.example/system/feed"
	"yardrock.example/system/placement"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

const (
	// seedTimeout bounds one query to all seeds for the control nodes.
	seedTimeout = 500 * time.Millisecond
	// preferredCheckInterval is how often the client checks whether its preferred control node
	// is live, to return to it.
	preferredCheckInterval = 15 * time.Second
	// firstPreferredCheckDelay is the delay of the first check after it switched control nodes.
	firstPreferredCheckDelay = 2 * time.Second
	// maxParallelControls is how many control nodes are polled concurrently while none is known
	// to reply.
	maxParallelControls = 3
)

// pickControls returns the control nodes to poll next: the one that confirmed last, or the
// preferred one if it is live and a check is due; if none confirmed, the next few candidates.
func (client *Client) pickControls() []string {
	if client.control != "" && time.Now().After(client.preferredCheckAt) {
		client.preferredCheckAt = time.Now().Add(preferredCheckInterval)
		if ranked := client.rankedControls(client.view.Load()); len(ranked) > 0 && client.isLive(ranked[0]) {
			client.control, client.candidates = ranked[0], ranked[1:]
		}
	}
	if client.control != "" {
		return []string{client.control}
	}
	if len(client.candidates) == 0 {
		client.refillCandidates()
	}
	picked := client.candidates[:min(maxParallelControls, len(client.candidates))]
	client.candidates = client.candidates[len(picked):]
	return picked
}

// nextCandidate removes and returns the next candidate, or "" if none is left.
func (client *Client) nextCandidate() string {
	if len(client.candidates) == 0 {
		return ""
	}
	next := client.candidates[0]
	client.candidates = client.candidates[1:]
	return next
}

// refillCandidates lists the control nodes of the view and, every second time or if there are
// none, those that the seeds know, as those of the view may all have been replaced.
func (client *Client) refillCandidates() {
	client.candidates = client.rankedControls(client.view.Load())
	client.candidateRounds++
	if len(client.candidates) > 0 && client.candidateRounds%2 != 0 {
		return
	}
	for _, address := range client.discoverControls() {
		if !slices.Contains(client.candidates, address) {
			client.candidates = append(client.candidates, address)
		}
	}
}

// keepControl selects a control node that confirmed for the next poll. If it differs from the
// previous one it was only the fastest of several, so the preferred one is checked soon.
func (client *Client) keepControl(address string) {
	if client.control != address {
		client.control, client.preferredCheckAt = address, time.Now().Add(firstPreferredCheckDelay)
	}
}

// rankedControls returns the addresses of a view's control nodes, the preferred one first: those
// in this node's domain before others, each group ranked by this node's name, which distributes
// nodes evenly.
func (client *Client) rankedControls(view *feed.View) []string {
	candidates, sameDomain, otherDomains := []placement.Candidate{}, []string{}, []string{}
	for _, member := range view.Controls {
		candidates = append(candidates, placement.Candidate{Name: member.Address, Domain: member.Domain})
	}
	for _, candidate := range placement.Rank(client.self.Name, candidates) {
		if candidate.Domain == client.self.Domain {
			sameDomain = append(sameDomain, candidate.Name)
		} else {
			otherDomains = append(otherDomains, candidate.Name)
		}
	}
	return append(sameDomain, otherDomains...)
}

// isLive reports whether an address is that of a live member.
func (client *Client) isLive(address string) bool {
	return slices.ContainsFunc(client.Members(), func(member feed.Member) bool { return member.Address == address })
}

// discoverControls asks all seeds concurrently for the control nodes that they know, and returns
// the first list that is not empty, or nil if there is none within seedTimeout. Requests still
// in flight are cancelled and not waited for.
func (client *Client) discoverControls() []string {
	seeds := *client.seeds.Load()
	ctx, cancel := context.WithTimeout(client.ctx, seedTimeout)
	defer cancel()
	replies := make(chan []string, len(seeds))
	for _, seed := range seeds {
		go func() { replies <- client.controlsKnownAt(ctx, seed) }()
	}
	for range seeds {
		if addresses := <-replies; len(addresses) > 0 {
			return addresses
		}
	}
	return nil
}

// controlsKnownAt asks one process for the control nodes that it knows, which include the process
// itself if it is an initialized control node.
func (client *Client) controlsKnownAt(ctx context.Context, address string) []string {
	reply, err := client.rpc.Call(ctx, address, &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}})
	if err != nil || reply.Status == nil {
		return nil
	}
	addresses := []string{}
	if reply.Status.Role == feed.RoleControl && !reply.Status.Uninitialized {
		addresses = append(addresses, address)
	}
	for _, member := range reply.Status.Controls {
		addresses = append(addresses, member.Address)
	}
	return addresses
}
