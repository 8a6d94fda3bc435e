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

// pickControls keeps to the control node that answered last, but comes home to the one that
// is best for this node; else it takes the next few of those the view or the seeds name.
func (client *Client) pickControls() []string {
	view := client.view.Load()
	if client.control != "" && time.Since(client.chosenAt) > preferredCheckInterval {
		client.chosenAt = time.Now()
		if ranked := client.rankedControls(view); len(ranked) > 0 && client.isLive(ranked[0]) {
			client.control, client.candidates = ranked[0], ranked[1:]
		}
	}
	if client.control != "" {
		return []string{client.control}
	}
	if len(client.candidates) == 0 {
		client.candidates = client.rankedControls(view)
		client.candidateRounds++
		if len(client.candidates) == 0 || client.candidateRounds%2 == 0 {
			for _, address := range client.discoverControls() {
				if !slices.Contains(client.candidates, address) {
					client.candidates = append(client.candidates, address)
				}
			}
		}
	}
	picked := client.candidates[:min(maxParallelControls, len(client.candidates))]
	client.candidates = client.candidates[len(picked):]
	return picked
}

// rankedControls lists the control nodes of a view, those of this node's domain first, and spread
// evenly over the nodes that ask.
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

func (client *Client) isLive(address string) bool {
	return slices.ContainsFunc(client.Members(), func(member feed.Member) bool { return member.Address == address })
}

// discoverControls asks all seeds at once, and gives what the first of use tells of control nodes.
func (client *Client) discoverControls() []string {
	seeds := *client.seeds.Load()
	ctx, cancel := context.WithTimeout(client.context, seedTimeout)
	defer cancel()
	answers := make(chan []string, len(seeds))
	for _, seed := range seeds {
		go func() {
			found := []string{}
			reply, err := client.rpc.Call(ctx, seed, &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}})
			if err == nil && reply.Status != nil {
				if reply.Status.Role == feed.RoleControl && !reply.Status.Uninitialized {
					found = append(found, seed)
				}
				for _, member := range reply.Status.Controls {
					found = append(found, member.Address)
				}
			}
			answers <- found
		}()
	}
	for range seeds {
		if found := <-answers; len(found) > 0 {
			return found
		}
	}
	return nil
}
