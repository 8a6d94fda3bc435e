package store

import (
	"context"
	"sync"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// history joins the bytes of the turns that a turn follows, oldest first: each turn's
// input, then its output. It is whole or not at all.
func (node *Node) history(ctx context.Context, group uint32, view *sessionlog.View, sessionName, name string) ([]byte, error) {
	turn, found := view.Turn(sessionName, name)
	if !found || turn.Follows == nil {
		return nil, nil
	}
	parts, err := node.turnData(ctx, group, view, turn.Follows.Chain())
	if err != nil {
		return nil, err
	}
	size := 0
	for _, piece := range parts {
		size += len(piece)
	}
	joined := make([]byte, 0, size)
	for _, piece := range parts {
		joined = append(joined, piece...)
	}
	return joined, nil
}

// pieces gives the bytes of a chain's events, two for each turn; the second of an
// adopted turn is empty.
func (node *Node) turnData(ctx context.Context, group uint32, view *sessionlog.View, chain []*sessionlog.Turn) ([][]byte, error) {
	session, found := view.Session(chain[0].Session)
	if !found {
		return nil, gapError(chain[0].Session)
	}
	seqs := make([]uint64, 0, 2*len(chain))
	for _, turn := range chain {
		ended := turn.EndSeq
		if ended == turn.Seq {
			ended = 0
		}
		seqs = append(seqs, turn.Seq, ended)
	}
	archived, err := node.archivedEvents(ctx, group, session, seqs)
	if err != nil {
		return nil, err
	}
	data := make([][]byte, len(seqs))
	for position, seq := range seqs {
		switch {
		case seq == 0:
		case seq > session.ArchivedSeq:
			data[position], err = node.fullData(ctx, group, view, &session.Unarchived[seq-session.ArchivedSeq-1])
		default:
			data[position], err = node.fullData(ctx, group, view, archived[seq])
		}
		if err != nil {
			return nil, err
		}
	}
	return data, nil
}

// archivedEvents reads those of a line's events that are archived, without a gap, as they are
// kept.
func (node *Node) archivedEvents(ctx context.Context, group uint32, session *sessionlog.Session, seqs []uint64) (map[uint64]*sessionlog.Event, error) {
	wanted := map[uint64]*sessionlog.Event{}
	first, last := uint64(0), uint64(0)
	for _, seq := range seqs {
		if seq != 0 && seq <= session.ArchivedSeq {
			wanted[seq] = nil
			if first == 0 || seq < first {
				first = seq
			}
			last = max(last, seq)
		}
	}
	for after := first - 1; first != 0 && after < last; {
		events, err := node.readEvents(ctx, group, session, after, last-after)
		if err != nil {
			return nil, err
		}
		for _, event := range events {
			after = event.Seq
			if _, isWanted := wanted[event.Seq]; isWanted {
				wanted[event.Seq] = &event
			}
		}
	}
	return wanted, nil
}

// findTimeout is how long a quorum may take to confirm a group; others are not held up
// by one that has none.
const findTimeout = 300 * time.Millisecond

// handleFind looks for a turn in every group that a quorum confirms to be led here.
func (node *Node) handleFind(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	var mutex sync.Mutex
	var searching sync.WaitGroup
	answer := &wire.FindTurnReply{}
	var failed error
	for group, status := range node.host.Statuses() {
		if !status.Leading {
			continue
		}
		searching.Go(func() {
			limited, cancel := context.WithTimeout(ctx, findTimeout)
			view, err := node.linearizableView(limited, group)
			cancel()
			if err != nil {
				return
			}
			chain, open, err := node.findTurn(ctx, group, view, query.FindTurn.Name)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				failed = err
				return
			}
			answer.SearchedGroups = append(answer.SearchedGroups, group)
			answer.Open = answer.Open || open
			if len(chain) > 0 {
				answer.Found, answer.Chain = true, chain
			}
		})
	}
	searching.Wait()
	if failed != nil && !answer.Found {
		return nil, apierror.Of(failed)
	}
	return &wire.Reply{Which: schema.Reply_Which_found, FoundTurn: answer}, nil
}

// findTurn looks for a turn in one group, and gives it with all that it follows, or tells
// that it is still open.
func (node *Node) findTurn(ctx context.Context, group uint32, view *sessionlog.View, name string) (chain []sessionlog.AdoptedTurn, open bool, err error) {
	turn, found := view.TurnInAnySession(name)
	if !found || !turn.Complete() {
		return nil, found && turn.Open(view.Clock()), nil
	}
	turns := turn.Chain()
	parts, err := node.turnData(ctx, group, view, turns)
	if err != nil {
		return nil, false, err
	}
	for position, one := range turns {
		data := append(append([]byte{}, parts[2*position]...), parts[2*position+1]...)
		chain = append(chain, sessionlog.AdoptedTurn{Name: one.Name, Data: data})
	}
	return chain, false, nil
}
