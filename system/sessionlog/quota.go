package sessionlog

import (
	"iter"
	"slices"
	"strings"
	"time"
)

// QuotaUsage is the usage of the quota of a team's program in a period, in words. The sum of
// Spent and Reservations stays within the quota, except that one last turn may exceed it.
type QuotaUsage struct {
	Name         string
	Spent        uint64
	Reservations []Reservation
	// Settled has the recently settled reservations, so that a delayed Reserve does not
	// reserve again.
	Settled []Reservation
}

// Reservation is the number of words that is reserved for a running turn. ExpiresAt is the time,
// by the group's clock, after which package store closes the turn or, for a settled reservation,
// until which it is recorded.
type Reservation struct {
	Name      string
	Words     uint64
	ExpiresAt int64
}

// Reserved returns the total number of reserved words.
//
//	used := usage.Spent + usage.Reserved()
func (usage *QuotaUsage) Reserved() uint64 {
	total := uint64(0)
	for _, reservation := range usage.Reservations {
		total += reservation.Words
	}
	return total
}

// QuotaName returns the name of the quota of a team's program in a period. The name is stored and
// determines which group holds the quota.
//
//	name := sessionlog.QuotaName("depot", "dialogue", "first")
func QuotaName(team, program, period string) string {
	return "tally:" + team + "/" + program + "/" + period
}

// ReservationName returns the name of a turn's reservation. It consists of the session and the
// dispatch, so that the turn can be looked up from the reservation.
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

// QuotaUsage returns the usage of a quota, which is zero for an unknown quota.
//
//	spent := machine.View().QuotaUsage(sessionlog.QuotaName("depot", "dialogue", "first")).Spent
func (view *View) QuotaUsage(name string) QuotaUsage {
	if usage, found := view.quotaUsages.Get(name); found {
		return *usage
	}
	return QuotaUsage{Name: name}
}

// QuotaUsages iterates over the usage of all quotas, in unspecified order.
//
//	for usage := range view.QuotaUsages() { ... }
func (view *View) QuotaUsages() iter.Seq[*QuotaUsage] { return values(view.quotaUsages) }

// settledRetention is how long a settled reservation is recorded. It must exceed the time for
// which a Reserve can be in flight.
const settledRetention = time.Minute

// reserve reserves words if the quota covers them. A turn that would exceed the quota is still
// admitted if nothing else is reserved and the quota is not used up, so that a remainder smaller
// than one turn can be used.
func (view *View) reserve(command *Command) Result {
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

// settle replaces a reservation with the number of words that its turn used, at most the number
// reserved. An unknown reservation is recorded as settled too, because its Reserve may still be
// in flight.
func (view *View) settle(command *Command) Result {
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

func (usage *QuotaUsage) result(status Status, deduped bool) Result {
	return Result{Status: status, Deduped: deduped, Spent: usage.Spent, Reserved: usage.Reserved()}
}

func indexOfReservation(reservations []Reservation, name string) int {
	return slices.IndexFunc(reservations, func(reservation Reservation) bool { return reservation.Name == name })
}
