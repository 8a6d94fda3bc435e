package wire

import (
	"errors"
	"time"

	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire/schema"
)

func encodeEvent(target schema.Event, value *sessionlog.Event) error {
	target.SetSeq(value.Seq)
	target.SetAt(value.At)
	target.SetKind(uint16(value.Kind))
	target.SetTurn(value.Run)
	target.SetFollows(value.Follows)
	target.SetPart(value.Part)
	target.SetProducerSeq(value.ProducerSeq)
	target.SetConfig(value.Config)
	target.SetDeadline(value.Deadline)
	if err := encodeNonEmpty([]textField{
		{value.Text, target.SetWords}, {value.Outcome, target.SetOutcome}, {value.Runner, target.SetRunner}, {value.Dispatch, target.SetDispatch},
		{value.Digest, target.SetDigest}, {value.Name, target.SetName}, {value.Producer, target.SetProducer}, {value.Prefix, target.SetOpening},
	}); err != nil || len(value.Data) == 0 {
		return err
	}
	return target.SetData(value.Data)
}

func decodeEvent(source schema.Event, value *sessionlog.Event) error {
	reader := &fieldReader{}
	*value = sessionlog.Event{
		Seq: source.Seq(), At: source.At(), Kind: sessionlog.EventKind(source.Kind()), Run: source.Turn(), Follows: source.Follows(), Part: source.Part(),
		ProducerSeq: source.ProducerSeq(), Config: source.Config(), Deadline: source.Deadline(),
		Text: readField(reader, source.Words), Outcome: readField(reader, source.Outcome), Runner: readField(reader, source.Runner), Dispatch: readField(reader, source.Dispatch),
		Digest: readField(reader, source.Digest), Name: readField(reader, source.Name), Producer: readField(reader, source.Producer), Prefix: readField(reader, source.Opening),
		Data: readBytes(reader, source.Data),
	}
	return reader.err
}

func encodeCommand(target schema.Command, value *sessionlog.Command) error {
	target.SetKind(uint16(value.Kind))
	target.SetNow(value.Now)
	target.SetKeepFor(int64(value.Retention))
	target.SetProducerSeq(value.ProducerSeq)
	target.SetExpects(value.HasExpectedSeq)
	target.SetExpectedSeq(value.ExpectedSeq)
	target.SetWords(value.Words)
	target.SetAllowance(value.Quota)
	target.SetLife(int64(value.Lifetime))
	target.SetTokens(value.Tokens)
	target.SetBudgeted(value.HasQuota)
	target.SetKeeps(value.KeepData)
	target.SetPromptTokens(value.PromptTokens)
	if err := encodeNonEmpty([]textField{
		{value.Session, target.SetLine}, {value.Team, target.SetTeam}, {value.Program, target.SetProgram}, {value.WorkKind, target.SetWorkKind}, {value.Producer, target.SetProducer},
		{value.Reservation, target.SetReservation}, {value.Follows, target.SetFollows}, {value.Dispatch, target.SetDispatch}, {value.Outcome, target.SetOutcome},
		{value.Scope, target.SetScope}, {value.Prefix, target.SetOpening}, {value.Conversation, target.SetConversation}, {value.Runner, target.SetRunner},
	}); err != nil {
		return err
	}
	if len(value.Data) > 0 {
		if err := target.SetData(value.Data); err != nil {
			return err
		}
	}
	if len(value.Adopted) > 0 {
		if err := encodeList(target.NewAdopted, value.Adopted, encodeAdopted); err != nil {
			return err
		}
	}
	if len(value.Events) == 0 && len(value.Acks) == 0 {
		return nil
	}
	if err := encodeList(target.NewEvents, value.Events, encodeEvent); err != nil {
		return err
	}
	return encodeList(target.NewAcks, value.Acks, encodeAck)
}

func decodeCommand(source schema.Command, value *sessionlog.Command) (err error) {
	reader := &fieldReader{}
	*value = sessionlog.Command{
		Kind: sessionlog.CommandKind(source.Kind()), Now: source.Now(), Retention: time.Duration(source.KeepFor()), ProducerSeq: source.ProducerSeq(),
		HasExpectedSeq: source.Expects(), ExpectedSeq: source.ExpectedSeq(), Words: source.Words(), Quota: source.Allowance(), Lifetime: time.Duration(source.Life()),
		Tokens: source.Tokens(), HasQuota: source.Budgeted(), KeepData: source.Keeps(),
		Session: readField(reader, source.Line), Team: readField(reader, source.Team), Program: readField(reader, source.Program), WorkKind: readField(reader, source.WorkKind),
		Producer: readField(reader, source.Producer), Reservation: readField(reader, source.Reservation), Follows: readField(reader, source.Follows), Dispatch: readField(reader, source.Dispatch),
		Outcome: readField(reader, source.Outcome), Scope: readField(reader, source.Scope), Prefix: readField(reader, source.Opening),
		Conversation: readField(reader, source.Conversation), Runner: readField(reader, source.Runner), PromptTokens: source.PromptTokens(),
		Data: readBytes(reader, source.Data),
	}
	if reader.err != nil {
		return reader.err
	}
	if value.Adopted, err = decodeList(source.Adopted, decodeAdopted); err != nil {
		return err
	}
	if value.Events, err = decodeList(source.Events, decodeEvent); err != nil {
		return err
	}
	value.Acks, err = decodeList(source.Acks, decodeAck)
	return err
}

func encodeAck(target schema.Ack, value *sessionlog.Ack) error {
	target.SetArchivedSeq(value.ArchivedSeq)
	return target.SetLine(value.Session)
}

func decodeAck(source schema.Ack, value *sessionlog.Ack) (err error) {
	value.ArchivedSeq = source.ArchivedSeq()
	value.Session, err = source.Line()
	return err
}

func encodeAdopted(target schema.AdoptedTurn, value *sessionlog.AdoptedTurn) error {
	return errors.Join(target.SetName(value.Name), target.SetData(value.Data))
}

func decodeAdopted(source schema.AdoptedTurn, value *sessionlog.AdoptedTurn) error {
	reader := &fieldReader{}
	*value = sessionlog.AdoptedTurn{Name: readField(reader, source.Name), Data: readBytes(reader, source.Data)}
	return reader.err
}

func encodeResult(target schema.Outcome, value *sessionlog.Result) error {
	target.SetStatus(uint16(value.Status))
	target.SetSeq(value.Seq)
	target.SetHead(value.Head)
	target.SetDeduped(value.Deduped)
	target.SetSpent(value.Spent)
	target.SetReserved(value.Reserved)
	target.SetCachedTokens(value.CachedTokens)
	return encodeNonEmpty([]textField{{value.Runner, target.SetRunner}})
}

func decodeResult(source schema.Outcome, value *sessionlog.Result) error {
	reader := &fieldReader{}
	*value = sessionlog.Result{
		Status: sessionlog.Status(source.Status()), Seq: source.Seq(), Head: source.Head(), Deduped: source.Deduped(), Spent: source.Spent(), Reserved: source.Reserved(),
		Runner: readField(reader, source.Runner), CachedTokens: source.CachedTokens(),
	}
	return reader.err
}
