package sessionlog

import (
	"iter"
	"slices"
	"strings"
	"time"
)

// QuotaUsage is what a team's program used of its quota in a period, in words. Spent and what
// Reservations reserve together stay within the quota, but for one last turn.
type QuotaUsage struct {
	Name         string
	Spent        uint64
	Reservations []Reservation
	// Settled has the reservations that were settled lately, so that a late Reserve can't
	// reserve again.
	Settled []Reservation
}

// Reservation is what a running turn may still put out, in words. ExpiresAt is the time, by
// the group's clock, after which the settler closes the turn; for a settled one, until when it
// is remembered.
type Reservation struct {
	Name      string
	Words     uint64
	ExpiresAt int64
}

// Reserved returns how many words are reserved in all.
//
//	used := usage.Spent + usage.Reserved()
func (usage *QuotaUsage) Reserved() uint64 {
	total := uint64(0)
	for _, reservation := range usage.Reservations {
		total += reservation.Words
	}
	return total
}

// QuotaName returns the name of the quota of a team's program in a period. It is stored, and
// decides which group has the quota.
//
//	name := sessionlog.QuotaName("depot", "dialogue", "first")
func QuotaName(team, program, period string) string {
	return "tally:" + team + "/" + program + "/" + period
}

// ReservationName names a turn's reservation after its session and dispatch, so that whoever
// finds the reservation can find out what became of the turn.
//
//	name := sessionlog.ReservationName("team/c-1", dispatch)
func ReservationName(sessionName, dispatch string) string {
	return sessionName + reservationSeparator + dispatch
}

const reservationSeparator = "|"

// Turn returns the session and the dispatch that a reservation is for.
//
//	sessionName, dispatch := reservation.Turn()
func (reservation Reservation) Turn() (sessionName, dispatch string) {
	sessionName, dispatch, _ = strings.Cut(reservation.Name, reservationSeparator)
	return sessionName, dispatch
}

// QuotaUsage returns the usage of a quota; of an unknown one nothing is used.
//
//	spent := machine.View().QuotaUsage(sessionlog.QuotaName("depot", "dialogue", "first")).Spent
func (view *View) QuotaUsage(name string) QuotaUsage {
	if usage, found := view.quotaUsages.Get(name); found {
		return *usage
	}
	return QuotaUsage{Name: name}
}

// QuotaUsages iterates over the usage of all quotas, in no certain order.
//
//	for usage := range view.QuotaUsages() { ... }
func (view *View) QuotaUsages() iter.Seq[*QuotaUsage] { return values(view.quotaUsages) }

// settledRetention is how long a settled reservation is remembered: longer than any Reserve
// for it can still be in flight.
const settledRetention = time.Minute

// reserve sets words aside, unless the quota does not cover them. A turn that would exceed the
// quota may still run if it is the only one and anything is left, so that a quota which is
// smaller than a turn can be used up.
func (view *View) reserve(command *Command) Outcome {
	usage := view.QuotaUsage(command.Session)
	if indexOfReservation(usage.Reservations, command.Reservation) >= 0 {
		return usage.result(Done, true)
	}
	if indexOfReservation(usage.Settled, command.Reservation) >= 0 {
		return usage.result(StaleProducer, true)
	}
	reserved := usage.Reserved()
	fits := usage.Spent+reserved+command.Words <= command.Quota
	lastTurn := reserved == 0 && usage.Spent < command.Quota
	if !fits && !lastTurn {
		return usage.result(QuotaExceeded, false)
	}
	reservation := Reservation{Name: command.Reservation, Words: command.Words, ExpiresAt: view.clock + int64(command.Lifetime)}
	usage.Reservations = append(slices.Clip(usage.Reservations), reservation)
	view.quotaUsages = view.quotaUsages.Set(command.Session, &usage)
	return usage.result(Done, false)
}

// settle replaces a reservation by the words that its turn used, and by no more than were
// reserved. A reservation that is unknown is remembered as settled all the same, as its
// Reserve may still be in flight.
func (view *View) settle(command *Command) Outcome {
	usage := view.QuotaUsage(command.Session)
	position := indexOfReservation(usage.Reservations, command.Reservation)
	deduped := position < 0
	if deduped && indexOfReservation(usage.Settled, command.Reservation) >= 0 {
		return usage.result(Done, true)
	}
	if !deduped {
		usage.Spent += min(command.Words, usage.Reservations[position].Words)
		usage.Reservations = slices.Delete(slices.Clone(usage.Reservations), position, position+1)
	}
	remembered := []Reservation{{Name: command.Reservation, ExpiresAt: view.clock + int64(settledRetention)}}
	for _, settled := range usage.Settled {
		if settled.ExpiresAt > view.clock {
			remembered = append(remembered, settled)
		}
	}
	usage.Settled = remembered
	view.quotaUsages = view.quotaUsages.Set(command.Session, &usage)
	return usage.result(Done, deduped)
}

func (usage *QuotaUsage) result(status Status, deduped bool) Outcome {
	return Outcome{Status: status, Deduped: deduped, Spent: usage.Spent, Reserved: usage.Reserved()}
}

func indexOfReservation(reservations []Reservation, name string) int {
	return slices.IndexFunc(reservations, func(reservation Reservation) bool { return reservation.Name == name })
}
