package wire

import (
	"errors"
	"time"

	"yardrock.example/system/line"
	"yardrock.example/system/wire/schema"
)

func putProducer(target schema.Producer, value *line.Producer) error {
	target.SetProducerSeq(value.ProducerSeq)
	target.SetSeq(value.Seq)
	target.SetAt(value.At)
	return target.SetName(value.Name)
}

func takeProducer(source schema.Producer, value *line.Producer) (err error) {
	*value = line.Producer{ProducerSeq: source.ProducerSeq(), Seq: source.Seq(), At: source.At()}
	value.Name, err = source.Name()
	return err
}

func putSession(target schema.Session, value *line.Session) error {
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
	if err := putList(producers, err, value.Producers, putProducer); err != nil {
		return err
	}
	hot, err := target.NewHot(int32(len(value.Unarchived)))
	if err := putList(hot, err, value.Unarchived, putEvent); err != nil {
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
	return putTexts(openings, err, value.Prefixes)
}

func takeSession(source schema.Session, value *line.Session) error {
	reading := &taking{}
	*value = line.Session{CreatedAt: source.CreatedAt(), Retention: time.Duration(source.KeepFor()), UpdatedAt: source.TouchedAt(), Head: source.Head(), ArchivedSeq: source.ArchivedSeq(),
		RetainUntil: source.Until(), Spent: source.Spent(), Reserved: source.Reserved(), Name: field(reading, source.Line), Team: field(reading, source.Team), Program: field(reading, source.Program), WorkKind: field(reading, source.WorkKind)}
	if reading.failed != nil {
		return reading.failed
	}
	producers, err := source.Producers()
	if value.Producers, err = takeList(producers, err, takeProducer); err != nil {
		return err
	}
	hot, err := source.Hot()
	if value.Unarchived, err = takeList(hot, err, takeEvent); err != nil {
		return err
	}
	open, err := source.OpenTurns()
	if err != nil {
		return err
	}
	for position := range open.Len() {
		value.OpenTurns = append(value.OpenTurns, open.At(position))
	}
	value.Prefixes, err = takeTexts(source.Openings())
	return err
}

func putReservation(target schema.Reservation, value *line.Reservation) error {
	target.SetWords(value.Words)
	target.SetUntil(value.ExpiresAt)
	return target.SetName(value.Name)
}

func takeReservation(source schema.Reservation, value *line.Reservation) (err error) {
	*value = line.Reservation{Words: source.Words(), ExpiresAt: source.Until()}
	value.Name, err = source.Name()
	return err
}

func putTally(target schema.Tally, value *line.QuotaUsage) error {
	target.SetSpent(value.Spent)
	if err := target.SetName(value.Name); err != nil {
		return err
	}
	reservations, err := target.NewReservations(int32(len(value.Reservations)))
	if err := putList(reservations, err, value.Reservations, putReservation); err != nil {
		return err
	}
	settled, err := target.NewSettled(int32(len(value.Settled)))
	return putList(settled, err, value.Settled, putReservation)
}

func takeTally(source schema.Tally, value *line.QuotaUsage) (err error) {
	*value = line.QuotaUsage{Spent: source.Spent()}
	if value.Name, err = source.Name(); err != nil {
		return err
	}
	reservations, err := source.Reservations()
	if value.Reservations, err = takeList(reservations, err, takeReservation); err != nil {
		return err
	}
	settled, err := source.Settled()
	value.Settled, err = takeList(settled, err, takeReservation)
	return err
}

func putOpening(target schema.Opening, value *line.SharedPrefixRecord) error {
	target.SetUntil(value.Until)
	return errors.Join(target.SetName(value.Name), target.SetScope(value.Scope), target.SetData(value.Data))
}

func takeOpening(source schema.Opening, value *line.SharedPrefixRecord) error {
	reading := &taking{}
	*value = line.SharedPrefixRecord{Until: source.Until(), Name: field(reading, source.Name), Scope: field(reading, source.Scope), Data: bytesOf(reading, source.Data)}
	return reading.failed
}

func putImage(target schema.LineImage, value *line.Snapshot) error {
	target.SetVersion(value.Version)
	target.SetClock(value.Clock)
	sessions, err := target.NewSessions(int32(len(value.Sessions)))
	if err := putList(sessions, err, value.Sessions, putSession); err != nil {
		return err
	}
	tallies, err := target.NewTallies(int32(len(value.QuotaUsages)))
	if err := putList(tallies, err, value.QuotaUsages, putTally); err != nil {
		return err
	}
	turns, err := target.NewTurns(int32(len(value.Turns)))
	if err := putList(turns, err, value.Turns, putTurnRecord); err != nil || len(value.Prefixes) == 0 {
		return err
	}
	openings, err := target.NewOpenings(int32(len(value.Prefixes)))
	return putList(openings, err, value.Prefixes, putOpening)
}

func takeImage(source schema.LineImage, value *line.Snapshot) error {
	*value = line.Snapshot{Version: source.Version(), Clock: source.Clock()}
	sessions, err := source.Sessions()
	if value.Sessions, err = takeList(sessions, err, takeSession); err != nil {
		return err
	}
	tallies, err := source.Tallies()
	if value.QuotaUsages, err = takeList(tallies, err, takeTally); err != nil {
		return err
	}
	turns, err := source.Turns()
	if value.Turns, err = takeList(turns, err, takeTurnRecord); err != nil {
		return err
	}
	openings, err := source.Openings()
	value.Prefixes, err = takeList(openings, err, takeOpening)
	return err
}
