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

// encodeSessionHeader encodes the part of a session that readers get: identity, retention and
// positions. Snapshots have the rest as well (encodeSession).
func encodeSessionHeader(target schema.Session, value *sessionlog.Session) error {
	target.SetCreatedAt(value.CreatedAt)
	target.SetKeepFor(int64(value.Retention))
	target.SetTouchedAt(value.UpdatedAt)
	target.SetHead(value.Head)
	target.SetArchivedSeq(value.ArchivedSeq)
	return errors.Join(target.SetLine(value.Name), target.SetTeam(value.Team), target.SetProgram(value.Program), target.SetWorkKind(value.WorkKind))
}

func decodeSessionHeader(source schema.Session, value *sessionlog.Session) error {
	reader := &fieldReader{}
	*value = sessionlog.Session{
		CreatedAt: source.CreatedAt(), Retention: time.Duration(source.KeepFor()), UpdatedAt: source.TouchedAt(), Head: source.Head(), ArchivedSeq: source.ArchivedSeq(),
		Name: readField(reader, source.Line), Team: readField(reader, source.Team), Program: readField(reader, source.Program), WorkKind: readField(reader, source.WorkKind),
	}
	return reader.err
}

func encodeSession(target schema.Session, value *sessionlog.Session) error {
	if err := encodeSessionHeader(target, value); err != nil {
		return err
	}
	target.SetUntil(value.RetainUntil)
	target.SetSpent(value.Spent)
	target.SetReserved(value.Reserved)
	if err := encodeList(target.NewProducers, value.Producers, encodeProducer); err != nil {
		return err
	}
	if err := encodeList(target.NewHot, value.Unarchived, encodeEvent); err != nil {
		return err
	}
	openTurns, err := target.NewOpenTurns(int32(len(value.OpenRuns)))
	if err != nil {
		return err
	}
	for position, turn := range value.OpenRuns {
		openTurns.Set(position, turn)
	}
	if len(value.CacheLocations) > 0 {
		if err := encodeList(target.NewCacheLocations, value.CacheLocations, encodeCacheLocation); err != nil {
			return err
		}
	}
	if len(value.Prefixes) == 0 {
		return nil
	}
	return encodeTexts(target.NewOpenings, value.Prefixes)
}

func decodeSession(source schema.Session, value *sessionlog.Session) error {
	err := decodeSessionHeader(source, value)
	if err != nil {
		return err
	}
	value.RetainUntil, value.Spent, value.Reserved = source.Until(), source.Spent(), source.Reserved()
	if value.Producers, err = decodeList(source.Producers, decodeProducer); err != nil {
		return err
	}
	if value.Unarchived, err = decodeList(source.Hot, decodeEvent); err != nil {
		return err
	}
	openTurns, err := source.OpenTurns()
	if err != nil {
		return err
	}
	for position := range openTurns.Len() {
		value.OpenRuns = append(value.OpenRuns, openTurns.At(position))
	}
	if value.CacheLocations, err = decodeList(source.CacheLocations, decodeCacheLocation); err != nil {
		return err
	}
	value.Prefixes, err = decodeTexts(source.Openings)
	return err
}

func encodeCacheLocation(target schema.CacheLocation, value *sessionlog.CacheLocation) error {
	target.SetTokens(value.Tokens)
	return errors.Join(target.SetConversation(value.Conversation), target.SetRunner(value.Runner))
}

func decodeCacheLocation(source schema.CacheLocation, value *sessionlog.CacheLocation) error {
	reader := &fieldReader{}
	*value = sessionlog.CacheLocation{Conversation: readField(reader, source.Conversation), Runner: readField(reader, source.Runner), Tokens: source.Tokens()}
	return reader.err
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
	if err := encodeList(target.NewReservations, value.Reservations, encodeReservation); err != nil {
		return err
	}
	return encodeList(target.NewSettled, value.Settled, encodeReservation)
}

func decodeQuotaUsage(source schema.Tally, value *sessionlog.QuotaUsage) (err error) {
	*value = sessionlog.QuotaUsage{Spent: source.Spent()}
	if value.Name, err = source.Name(); err != nil {
		return err
	}
	if value.Reservations, err = decodeList(source.Reservations, decodeReservation); err != nil {
		return err
	}
	value.Settled, err = decodeList(source.Settled, decodeReservation)
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
	reader := &fieldReader{}
	*value = sessionlog.TurnRecord{
		Seq: source.Seq(), EndSeq: source.Ended(), Deadline: source.Deadline(), Tokens: source.Tokens(),
		Session: readField(reader, source.Line), Name: readField(reader, source.Name), Follows: readField(reader, source.Follows),
		Outcome: readField(reader, source.Outcome), Dispatch: readField(reader, source.Dispatch),
	}
	return reader.err
}

func encodeSharedPrefix(target schema.Opening, value *sessionlog.SharedPrefixRecord) error {
	target.SetUntil(value.KeepUntil)
	return errors.Join(target.SetName(value.Name), target.SetScope(value.Scope), target.SetData(value.Data))
}

func decodeSharedPrefix(source schema.Opening, value *sessionlog.SharedPrefixRecord) error {
	reader := &fieldReader{}
	*value = sessionlog.SharedPrefixRecord{KeepUntil: source.Until(), Name: readField(reader, source.Name), Scope: readField(reader, source.Scope), Data: readBytes(reader, source.Data)}
	return reader.err
}

// encodeSessionSnapshot encodes the state of a session group. Without shared prefixes their
// list is not allocated, so that the bytes equal those of versions without the list.
func encodeSessionSnapshot(target schema.LineImage, value *sessionlog.Snapshot) error {
	target.SetVersion(value.Version)
	target.SetClock(value.Clock)
	if err := encodeList(target.NewSessions, value.Sessions, encodeSession); err != nil {
		return err
	}
	if err := encodeList(target.NewTallies, value.QuotaUsages, encodeQuotaUsage); err != nil {
		return err
	}
	if err := encodeList(target.NewTurns, value.Turns, encodeTurnRecord); err != nil || len(value.Prefixes) == 0 {
		return err
	}
	return encodeList(target.NewOpenings, value.Prefixes, encodeSharedPrefix)
}

func decodeSessionSnapshot(source schema.LineImage, value *sessionlog.Snapshot) (err error) {
	*value = sessionlog.Snapshot{Version: source.Version(), Clock: source.Clock()}
	if value.Sessions, err = decodeList(source.Sessions, decodeSession); err != nil {
		return err
	}
	if value.QuotaUsages, err = decodeList(source.Tallies, decodeQuotaUsage); err != nil {
		return err
	}
	if value.Turns, err = decodeList(source.Turns, decodeTurnRecord); err != nil {
		return err
	}
	value.Prefixes, err = decodeList(source.Openings, decodeSharedPrefix)
	return err
}
