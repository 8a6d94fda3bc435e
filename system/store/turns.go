package store

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// errTurnUnsaved means that a turn was recorded without its data, so that none can continue it.
// Versions before sessionlog.OutcomeUnsaved recorded such a turn as complete, also in the sessions
// that adopted it.
var errTurnUnsaved = errors.New("the data of a turn was not saved")

// addHistory adds the data of the turns that a turn continues to the reply to its begin. If that
// data was not saved, the turn is closed as not run and the result is TurnIncomplete. The state
// machine can't decide this: replicas of earlier versions would begin the turn.
func (node *Node) addHistory(ctx context.Context, group uint32, command *sessionlog.Command, begun applyResult, reply *wire.CommandReply) error {
	history, err := node.history(ctx, group, begun.view, command.Session, command.Producer)
	if !errors.Is(err, errTurnUnsaved) {
		reply.History = history
		return err
	}
	fence := sessionlog.Command{Kind: sessionlog.EndTurn, Session: command.Session, Now: node.clock(group), Producer: command.Producer, Outcome: sessionlog.OutcomeNotRun}
	if _, err := node.propose(ctx, group, fence); err != nil {
		return err
	}
	reply.Results[len(reply.Results)-1].Status = sessionlog.TurnIncomplete
	return nil
}

// history concatenates the data of the turns that a turn follows, oldest first: the input, then
// the output of each. It returns an error rather than an incomplete history.
func (node *Node) history(ctx context.Context, group uint32, view *sessionlog.View, sessionName, turnName string) ([]byte, error) {
	turn, found := view.Turn(sessionName, turnName)
	if !found || turn.Follows == nil {
		return nil, nil
	}
	data, err := node.turnData(ctx, group, view, turn.Follows.Chain())
	if err != nil {
		return nil, err
	}
	return slices.Concat(data...), nil
}

// noEvent is the sequence number of an event that a turn does not have; valid ones begin at 1.
const noEvent = 0

// turnSeqs returns the sequence numbers of a chain's events, two for each turn: its begin and its
// end. An adopted turn (sessionlog.AdoptedTurn) has a single event, so its second number is
// noEvent.
func turnSeqs(chain []*sessionlog.Turn) []uint64 {
	seqs := make([]uint64, 0, 2*len(chain))
	for _, turn := range chain {
		endSeq := turn.EndSeq
		if endSeq == turn.Seq {
			endSeq = noEvent
		}
		seqs = append(seqs, turn.Seq, endSeq)
	}
	return seqs
}

// turnData returns the data of a chain's events, two items for each turn: its input and its
// output. For an adopted turn, the first item has both and the second is empty. It fails with
// errTurnUnsaved if a turn has no data at all.
func (node *Node) turnData(ctx context.Context, group uint32, view *sessionlog.View, chain []*sessionlog.Turn) ([][]byte, error) {
	session, found := view.Session(chain[0].Session)
	if !found {
		return nil, gapError(chain[0].Session)
	}
	seqs := turnSeqs(chain)
	archived, err := node.archivedEvents(ctx, group, session, seqs)
	if err != nil {
		return nil, err
	}
	data := make([][]byte, len(seqs))
	for position, seq := range seqs {
		switch {
		case seq == noEvent:
		case seq > session.ArchivedSeq:
			data[position], err = node.fullData(ctx, group, view, &session.Unarchived[seq-session.ArchivedSeq-1])
		default:
			data[position], err = node.fullData(ctx, group, view, archived[seq])
		}
		if err != nil {
			return nil, err
		}
	}
	for position := 0; position < len(data); position += 2 {
		if len(data[position]) == 0 && len(data[position+1]) == 0 {
			return nil, errTurnUnsaved
		}
	}
	return data, nil
}

// archivedEvents returns those of the given events of a session that are archived, as stored. It
// reads the whole range from the first to the last of them.
func (node *Node) archivedEvents(ctx context.Context, group uint32, session *sessionlog.Session, seqs []uint64) (map[uint64]*sessionlog.Event, error) {
	wanted := map[uint64]*sessionlog.Event{}
	first, last := session.ArchivedSeq+1, uint64(0)
	for _, seq := range seqs {
		if seq != noEvent && seq <= session.ArchivedSeq {
			wanted[seq] = nil
			first, last = min(first, seq), max(last, seq)
		}
	}
	// A read may return fewer events than requested, but at least one. If no event is wanted,
	// first is greater than last and nothing is read.
	for after := first - 1; after < last; {
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

// findTimeout bounds the wait for a quorum to confirm leadership of a group, so that a group
// without a quorum does not delay the search in the others.
const findTimeout = 300 * time.Millisecond

// handleFindTurn searches for a turn in every group that this node leads, as confirmed by a
// quorum, and replies with the groups that it searched.
func (node *Node) handleFindTurn(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	var mutex sync.Mutex // guards reply and searchErr
	var searches sync.WaitGroup
	reply := &wire.FindTurnReply{}
	var searchErr error
	for group, status := range node.host.Statuses() {
		if !status.Leading {
			continue
		}
		searches.Go(func() {
			confirmCtx, cancel := context.WithTimeout(ctx, findTimeout)
			view, err := node.linearizableView(confirmCtx, group)
			cancel()
			if err != nil {
				return // the group is not reported as searched
			}
			chain, open, err := node.findTurn(ctx, group, view, query.FindTurn)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				searchErr = err
				return
			}
			reply.SearchedGroups = append(reply.SearchedGroups, group)
			reply.Open = reply.Open || open
			if len(chain) > 0 {
				reply.Found, reply.Chain = true, chain
			}
		})
	}
	searches.Wait()
	if searchErr != nil && !reply.Found {
		return nil, apierror.Of(searchErr)
	}
	return &wire.Reply{Which: schema.Reply_Which_found, FoundTurn: reply}, nil
}

// findTurn searches for a turn in one group. It returns a complete turn with all turns that it
// follows, oldest first, or reports that the turn is open. A turn whose data, or that of a turn that
// it follows, was not saved is not found.
func (node *Node) findTurn(ctx context.Context, group uint32, view *sessionlog.View, query *wire.FindTurnQuery) (chain []sessionlog.AdoptedTurn, open bool, err error) {
	found, known := view.TurnInAnySession(query.Scope, query.Name)
	if !known || !found.Complete() {
		return nil, known && found.Open(view.Clock()), nil
	}
	turns := found.Chain()
	data, err := node.turnData(ctx, group, view, turns)
	if errors.Is(err, errTurnUnsaved) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, err
	}
	for position, turn := range turns {
		joined := append(append([]byte{}, data[2*position]...), data[2*position+1]...)
		chain = append(chain, sessionlog.AdoptedTurn{Name: turn.Name, Data: joined})
	}
	return chain, false, nil
}
