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
	target.SetTurn(value.Turn)
	target.SetFollows(value.Follows)
	target.SetPart(value.Part)
	target.SetProducerSeq(value.ProducerSeq)
	target.SetConfig(value.Config)
	target.SetDeadline(value.Deadline)
	for _, text := range []struct {
		value string
		set   func(string) error
	}{
		{value.Text, target.SetWords}, {value.Outcome, target.SetOutcome}, {value.Runner, target.SetRunner}, {value.Dispatch, target.SetDispatch},
		{value.Digest, target.SetDigest}, {value.Name, target.SetName}, {value.Producer, target.SetProducer}, {value.Prefix, target.SetOpening},
	} {
		if text.value == "" {
			continue
		}
		if err := text.set(text.value); err != nil {
			return err
		}
	}
	if len(value.Data) == 0 {
		return nil
	}
	return target.SetData(value.Data)
}

func decodeEvent(source schema.Event, value *sessionlog.Event) error {
	reading := &fieldReader{}
	*value = sessionlog.Event{Seq: source.Seq(), At: source.At(), Kind: sessionlog.EventKind(source.Kind()), Turn: source.Turn(), Follows: source.Follows(), Part: source.Part(),
		ProducerSeq: source.ProducerSeq(), Config: source.Config(), Deadline: source.Deadline(), Text: field(reading, source.Words), Outcome: field(reading, source.Outcome),
		Runner: field(reading, source.Runner), Dispatch: field(reading, source.Dispatch), Digest: field(reading, source.Digest), Name: field(reading, source.Name), Producer: field(reading, source.Producer), Data: readBytes(reading, source.Data),
		Prefix: field(reading, source.Opening)}
	return reading.err
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
	for _, text := range []struct {
		value string
		set   func(string) error
	}{
		{value.Session, target.SetLine}, {value.Team, target.SetTeam}, {value.Program, target.SetProgram}, {value.WorkKind, target.SetWorkKind}, {value.Producer, target.SetProducer},
		{value.Reservation, target.SetReservation}, {value.Follows, target.SetFollows}, {value.Dispatch, target.SetDispatch}, {value.Outcome, target.SetOutcome},
		{value.Scope, target.SetScope}, {value.Prefix, target.SetOpening},
	} {
		if text.value == "" {
			continue
		}
		if err := text.set(text.value); err != nil {
			return err
		}
	}
	if len(value.Data) > 0 {
		if err := target.SetData(value.Data); err != nil {
			return err
		}
	}
	if len(value.Adopted) > 0 {
		adopted, err := target.NewAdopted(int32(len(value.Adopted)))
		if err := encodeList(adopted, err, value.Adopted, encodeAdopted); err != nil {
			return err
		}
	}
	if len(value.Events) == 0 && len(value.Acks) == 0 {
		return nil
	}
	events, err := target.NewEvents(int32(len(value.Events)))
	if err := encodeList(events, err, value.Events, encodeEvent); err != nil {
		return err
	}
	acks, err := target.NewAcks(int32(len(value.Acks)))
	return encodeList(acks, err, value.Acks, func(target schema.Ack, ack *sessionlog.Ack) error {
		target.SetArchivedSeq(ack.ArchivedSeq)
		return target.SetLine(ack.Session)
	})
}

func decodeCommand(source schema.Command, value *sessionlog.Command) error {
	reading := &fieldReader{}
	*value = sessionlog.Command{Kind: sessionlog.CommandKind(source.Kind()), Now: source.Now(), Retention: time.Duration(source.KeepFor()), ProducerSeq: source.ProducerSeq(), HasExpectedSeq: source.Expects(),
		ExpectedSeq: source.ExpectedSeq(), Words: source.Words(), Quota: source.Allowance(), Lifetime: time.Duration(source.Life()), Session: field(reading, source.Line), Team: field(reading, source.Team),
		Program: field(reading, source.Program), WorkKind: field(reading, source.WorkKind), Producer: field(reading, source.Producer), Reservation: field(reading, source.Reservation),
		Follows: field(reading, source.Follows), Dispatch: field(reading, source.Dispatch), Outcome: field(reading, source.Outcome), Data: readBytes(reading, source.Data),
		Tokens: source.Tokens(), HasQuota: source.Budgeted(), KeepData: source.Keeps(), Scope: field(reading, source.Scope), Prefix: field(reading, source.Opening)}
	if reading.err != nil {
		return reading.err
	}
	adopted, err := source.Adopted()
	if value.Adopted, err = decodeList(adopted, err, decodeAdopted); err != nil {
		return err
	}
	events, err := source.Events()
	if value.Events, err = decodeList(events, err, decodeEvent); err != nil {
		return err
	}
	acks, err := source.Acks()
	value.Acks, err = decodeList(acks, err, func(source schema.Ack, ack *sessionlog.Ack) (err error) {
		ack.ArchivedSeq = source.ArchivedSeq()
		ack.Session, err = source.Line()
		return err
	})
	return err
}

func encodeAdopted(target schema.AdoptedTurn, value *sessionlog.AdoptedTurn) error {
	return errors.Join(target.SetName(value.Name), target.SetData(value.Data))
}

func decodeAdopted(source schema.AdoptedTurn, value *sessionlog.AdoptedTurn) error {
	reading := &fieldReader{}
	*value = sessionlog.AdoptedTurn{Name: field(reading, source.Name), Data: readBytes(reading, source.Data)}
	return reading.err
}

func encodeOutcome(target schema.Outcome, value *sessionlog.Outcome) error {
	target.SetStatus(uint16(value.Status))
	target.SetSeq(value.Seq)
	target.SetHead(value.Head)
	target.SetDeduped(value.Deduped)
	target.SetSpent(value.Spent)
	target.SetReserved(value.Reserved)
	return nil
}

func decodeOutcome(source schema.Outcome, value *sessionlog.Outcome) error {
	*value = sessionlog.Outcome{Status: sessionlog.Status(source.Status()), Seq: source.Seq(), Head: source.Head(), Deduped: source.Deduped(), Spent: source.Spent(), Reserved: source.Reserved()}
	return nil
}
