package wire

import (
	"errors"
	"time"

	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire/schema"
)

func encodeProducer(target schema.Producer, value *sessionlog.Producer) error {
	target.SetProducerSeq(value.ProducerSeq)
	target.SetSeq(value.Seq)
	target.SetAt(value.At)
	return target.SetName(value.Name)
}

func decodeProducer(source schema.Producer, value *sessionlog.Producer) (err error) {
	*value = sessionlog.Producer{ProducerSeq: source.ProducerSeq(), Seq: source.Seq(), At: source.At()}
	value.Name, err = source.Name()
	return err
}

func encodeSession(target schema.Session, value *sessionlog.Session) error {
	target.SetCreatedAt(value.CreatedAt)
	target.SetKeepFor(int64(value.Retention))
	target.SetTouchedAt(value.UpdatedAt)
	target.SetHead(value.Head)
	target.SetArchivedSeq(value.ArchivedSeq)
	target.SetUntil(value.RetainUntil)
	target.SetSpent(value.Spent)
	target.SetReserved(value.Reserved)
	if err := errors.Join(target.SetLine(value.Name), target.SetTeam(value.Team), target.SetProgram(value.Program), target.SetWorkKind(value.WorkKind)); err != nil {
		return err
	}
	producers, err := target.NewProducers(int32(len(value.Producers)))
	if err := encodeList(producers, err, value.Producers, encodeProducer); err != nil {
		return err
	}
	unarchived, err := target.NewHot(int32(len(value.Unarchived)))
	if err := encodeList(unarchived, err, value.Unarchived, encodeEvent); err != nil {
		return err
	}
	open, err := target.NewOpenTurns(int32(len(value.OpenTurns)))
	if err != nil {
		return err
	}
	for position, turn := range value.OpenTurns {
		open.Set(position, turn)
	}
	if len(value.Prefixes) == 0 {
		return nil
	}
	openings, err := target.NewOpenings(int32(len(value.Prefixes)))
	return encodeTexts(openings, err, value.Prefixes)
}

func decodeSession(source schema.Session, value *sessionlog.Session) error {
	reading := &fieldReader{}
	*value = sessionlog.Session{CreatedAt: source.CreatedAt(), Retention: time.Duration(source.KeepFor()), UpdatedAt: source.TouchedAt(), Head: source.Head(), ArchivedSeq: source.ArchivedSeq(),
		RetainUntil: source.Until(), Spent: source.Spent(), Reserved: source.Reserved(), Name: field(reading, source.Line), Team: field(reading, source.Team), Program: field(reading, source.Program), WorkKind: field(reading, source.WorkKind)}
	if reading.err != nil {
		return reading.err
	}
	producers, err := source.Producers()
	if value.Producers, err = decodeList(producers, err, decodeProducer); err != nil {
		return err
	}
	unarchived, err := source.Hot()
	if value.Unarchived, err = decodeList(unarchived, err, decodeEvent); err != nil {
		return err
	}
	open, err := source.OpenTurns()
	if err != nil {
		return err
	}
	for position := range open.Len() {
		value.OpenTurns = append(value.OpenTurns, open.At(position))
	}
	value.Prefixes, err = decodeTexts(source.Openings())
	return err
}

func encodeReservation(target schema.Reservation, value *sessionlog.Reservation) error {
	target.SetWords(value.Words)
	target.SetUntil(value.ExpiresAt)
	return target.SetName(value.Name)
}

func decodeReservation(source schema.Reservation, value *sessionlog.Reservation) (err error) {
	*value = sessionlog.Reservation{Words: source.Words(), ExpiresAt: source.Until()}
	value.Name, err = source.Name()
	return err
}

func encodeQuotaUsage(target schema.Tally, value *sessionlog.QuotaUsage) error {
	target.SetSpent(value.Spent)
	if err := target.SetName(value.Name); err != nil {
		return err
	}
	reservations, err := target.NewReservations(int32(len(value.Reservations)))
	if err := encodeList(reservations, err, value.Reservations, encodeReservation); err != nil {
		return err
	}
	settled, err := target.NewSettled(int32(len(value.Settled)))
	return encodeList(settled, err, value.Settled, encodeReservation)
}

func decodeQuotaUsage(source schema.Tally, value *sessionlog.QuotaUsage) (err error) {
	*value = sessionlog.QuotaUsage{Spent: source.Spent()}
	if value.Name, err = source.Name(); err != nil {
		return err
	}
	reservations, err := source.Reservations()
	if value.Reservations, err = decodeList(reservations, err, decodeReservation); err != nil {
		return err
	}
	settled, err := source.Settled()
	value.Settled, err = decodeList(settled, err, decodeReservation)
	return err
}

func encodeSharedPrefix(target schema.Opening, value *sessionlog.SharedPrefixRecord) error {
	target.SetUntil(value.Until)
	return errors.Join(target.SetName(value.Name), target.SetScope(value.Scope), target.SetData(value.Data))
}

func decodeSharedPrefix(source schema.Opening, value *sessionlog.SharedPrefixRecord) error {
	reading := &fieldReader{}
	*value = sessionlog.SharedPrefixRecord{Until: source.Until(), Name: field(reading, source.Name), Scope: field(reading, source.Scope), Data: readBytes(reading, source.Data)}
	return reading.err
}

func encodeSessionSnapshot(target schema.LineImage, value *sessionlog.Snapshot) error {
	target.SetVersion(value.Version)
	target.SetClock(value.Clock)
	sessions, err := target.NewSessions(int32(len(value.Sessions)))
	if err := encodeList(sessions, err, value.Sessions, encodeSession); err != nil {
		return err
	}
	tallies, err := target.NewTallies(int32(len(value.QuotaUsages)))
	if err := encodeList(tallies, err, value.QuotaUsages, encodeQuotaUsage); err != nil {
		return err
	}
	turns, err := target.NewTurns(int32(len(value.Turns)))
	if err := encodeList(turns, err, value.Turns, encodeTurnRecord); err != nil || len(value.Prefixes) == 0 {
		return err
	}
	openings, err := target.NewOpenings(int32(len(value.Prefixes)))
	return encodeList(openings, err, value.Prefixes, encodeSharedPrefix)
}

func decodeSessionSnapshot(source schema.LineImage, value *sessionlog.Snapshot) error {
	*value = sessionlog.Snapshot{Version: source.Version(), Clock: source.Clock()}
	sessions, err := source.Sessions()
	if value.Sessions, err = decodeList(sessions, err, decodeSession); err != nil {
		return err
	}
	tallies, err := source.Tallies()
	if value.QuotaUsages, err = decodeList(tallies, err, decodeQuotaUsage); err != nil {
		return err
	}
	turns, err := source.Turns()
	if value.Turns, err = decodeList(turns, err, decodeTurnRecord); err != nil {
		return err
	}
	openings, err := source.Openings()
	value.Prefixes, err = decodeList(openings, err, decodeSharedPrefix)
	return err
}

func encodeTurnRecord(target schema.TurnRecord, value *sessionlog.TurnRecord) error {
	target.SetSeq(value.Seq)
	target.SetEnded(value.EndSeq)
	target.SetDeadline(value.Deadline)
	target.SetTokens(value.Tokens)
	return errors.Join(target.SetLine(value.Session), target.SetName(value.Name), target.SetFollows(value.Follows), target.SetOutcome(value.Outcome), target.SetDispatch(value.Dispatch))
}

func decodeTurnRecord(source schema.TurnRecord, value *sessionlog.TurnRecord) error {
	reading := &fieldReader{}
	*value = sessionlog.TurnRecord{Seq: source.Seq(), EndSeq: source.Ended(), Deadline: source.Deadline(), Tokens: source.Tokens(), Session: field(reading, source.Line), Name: field(reading, source.Name),
		Follows: field(reading, source.Follows), Outcome: field(reading, source.Outcome), Dispatch: field(reading, source.Dispatch)}
	return reading.err
}
