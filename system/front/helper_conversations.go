package front

import (
	"context"
	"strings"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/sessionlog"
)

// readParent reads the parent's session, which must contain the turn that starts the helper, and
// that turn must be complete.
func readParent(ctx context.Context, node *Node, request *request) (any, error) {
	parent := *request
	parent.conversation = request.parent
	if answer, err := readSession(ctx, node, &parent); answer != nil || err != nil {
		return answer, err
	}
	if request.idempotencyKey == "" {
		return nil, apierror.New(apierror.Invalid, "query_key is empty", "set a unique query_key for each helper")
	}
	return nil, checkFollowed(&parent)
}

// startHelper records the helper's name in its parent's session, then starts the helper. A
// repeated request finds both.
func startHelper(ctx context.Context, node *Node, request *request) (any, error) {
	helper := *request
	helper.follows, helper.cleanups = 0, nil
	if _, err := nameSession(ctx, node, &helper); err != nil {
		return nil, err
	}
	commitCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	outcomes, err := node.stores.Command(commitCtx, request.team+"/"+request.parent, sessionlog.Command{
		Kind: sessionlog.AppendEvent, Producer: strings.Join([]string{request.program, "helper", request.idempotencyKey}, "/"), ProducerSeq: startProducerSeq,
		Events: []sessionlog.Event{{Kind: sessionlog.HelperStarted, Follows: request.follows, Name: helper.conversation}},
	})
	if err != nil {
		return nil, asNotRun(err)
	}
	if outcomes[0].Status != sessionlog.Done {
		return nil, apierror.NewRetryable(apierror.NotRun, "the parent's session rejected the helper", "retry", time.Second)
	}
	answer, err := node.runChain(ctx, &helper, turnChain)
	request.provenNotRun = helper.provenNotRun
	return answer, err
}
