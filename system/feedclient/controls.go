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
	// seedTimeout bounds one round of asking the seeds for control nodes.
	seedTimeout = 500 * time.Millisecond
	// preferredCheckInterval is how often the client checks whether its preferred control node
	// is alive, to go back to it.
	preferredCheckInterval = 15 * time.Second
	// firstPreferredCheck is when it checks first after it changed to another control node.
	firstPreferredCheck = 2 * time.Second
	// maxParallelControls is how many control nodes are polled at once while none is known to
	// reply.
	maxParallelControls = 3
)

// pickControls returns the control nodes to poll next: the one that replied last, or the
// preferred one if it is alive and a check is due; without one that replied, the next few
// candidates.
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

// nextCandidate takes the next candidate, or "" if none is left.
func (client *Client) nextCandidate() string {
	if len(client.candidates) == 0 {
		return ""
	}
	next := client.candidates[0]
	client.candidates = client.candidates[1:]
	return next
}

// refillCandidates lists the control nodes of the view and, every other time, those that the
// seeds know: those of the view may all have moved or be gone.
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

// keepControl keeps polling a control node that confirmed. If it is another one than before, it
// was merely the quickest of a few, so the preferred one is checked soon.
func (client *Client) keepControl(address string) {
	if client.control != address {
		client.control, client.preferredCheckAt = address, time.Now().Add(firstPreferredCheck)
	}
}

// rankedControls lists the addresses of a view's control nodes, the preferred one first: those
// in this node's domain before others, each part in an order by this node's name, which
// spreads nodes evenly.
func (client *Client) rankedControls(view *feed.View) []string {
	candidates, near, far := []placement.Candidate{}, []string{}, []string{}
	for _, member := range view.Controls {
		candidates = append(candidates, placement.Candidate{Name: member.Address, Domain: member.Domain})
	}
	for _, candidate := range placement.Rank(client.self.Name, candidates) {
		if candidate.Domain == client.self.Domain {
			near = append(near, candidate.Name)
		} else {
			far = append(far, candidate.Name)
		}
	}
	return append(near, far...)
}

// isLive reports whether a live member has an address.
func (client *Client) isLive(address string) bool {
	return slices.ContainsFunc(client.Members(), func(member feed.Member) bool { return member.Address == address })
}

// discoverControls asks all seeds at once for the control nodes that they know, and gives the
// first list that is not empty, nil if there is none within seedTimeout. The requests that are
// still in flight then are cancelled and not waited for.
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

// controlsKnownAt asks one process for the control nodes that it knows, itself included if it
// is one that has a view.
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
