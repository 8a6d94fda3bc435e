package sessionlog

import (
	"iter"
	"slices"
	"strings"
	"time"
)

// QuotaUsage is a program's spending. What is reserved counts as spent. Settled holds,
// for a while, what was settled, so that a late Reserve can't reserve it again.
type QuotaUsage struct {
	Name         string
	Spent        uint64
	Reservations []Reservation
	Settled      []Reservation
}

// Reservation is what a running turn may still speak, and until when by the
// group's clock it may be out.
type Reservation struct {
	Name      string
	Words     uint64
	ExpiresAt int64
}

// Reserved sums what running turns may still speak.
//
//	used := tally.Spent + tally.Reserved()
func (usage *QuotaUsage) Reserved() uint64 {
	total := uint64(0)
	for _, reservation := range usage.Reservations {
		total += reservation.Words
	}
	return total
}

// QuotaName names the tally of a team's program for a period.
//
//	name := line.QuotaName("depot", "dialogue", "first")
func QuotaName(team, program, period string) string {
	return "tally:" + team + "/" + program + "/" + period
}

// ReservationName names a turn's reservation after its line and its dispatch, so
// that whoever finds it can look what became of the turn.
//
//	name := line.ReservationName("team/c-1", dispatch)
func ReservationName(sessionName, dispatch string) string {
	return sessionName + reservationSeparator + dispatch
}

const reservationSeparator = "|"

// Turn gives the line and the dispatch that a reservation is for.
//
//	sessionName, dispatch := reservation.Turn()
func (reservation Reservation) Turn() (string, string) {
	sessionName, dispatch, _ := strings.Cut(reservation.Name, reservationSeparator)
	return sessionName, dispatch
}

// QuotaUsage gives a tally; an unknown one is empty.
//
//	spent := machine.View().QuotaUsage("tally:team/helpdesk").Spent
func (view *View) QuotaUsage(name string) QuotaUsage {
	if usage, found := view.quotaUsages.Get(name); found {
		return *usage
	}
	return QuotaUsage{Name: name}
}

// QuotaUsages iterates over all tallies.
//
//	for tally := range view.QuotaUsages() { ... }
func (view *View) QuotaUsages() iter.Seq[*QuotaUsage] { return values(view.quotaUsages) }

// settledRetention is how long a settled reservation is remembered: longer than any
// Reserve for it can still be on its way.
const settledRetention = time.Minute

func (view *View) reserve(command *Command) Outcome {
	usage := view.QuotaUsage(command.Session)
	outcome := func(status Status, deduped bool) Outcome {
		return Outcome{Status: status, Deduped: deduped, Spent: usage.Spent, Reserved: usage.Reserved()}
	}
	if indexOfReservation(usage.Reservations, command.Reservation) >= 0 {
		return outcome(Done, true)
	}
	if indexOfReservation(usage.Settled, command.Reservation) >= 0 {
		return outcome(StaleProducer, true)
	}
	reserved := usage.Reserved()
	fits := usage.Spent+reserved+command.Words <= command.Quota
	lastTurn := reserved == 0 && usage.Spent < command.Quota
	if !fits && !lastTurn {
		return outcome(QuotaExceeded, false)
	}
	usage.Reservations = append(slices.Clip(usage.Reservations), Reservation{Name: command.Reservation, Words: command.Words, ExpiresAt: view.clock + int64(command.Lifetime)})
	view.quotaUsages = view.quotaUsages.Set(command.Session, &usage)
	return outcome(Done, false)
}

// settle books what a reservation used. One that is not there is remembered as
// settled all the same, as its Reserve may still be on its way.
func (view *View) settle(command *Command) Outcome {
	usage := view.QuotaUsage(command.Session)
	at := indexOfReservation(usage.Reservations, command.Reservation)
	deduped := at < 0
	if deduped && indexOfReservation(usage.Settled, command.Reservation) >= 0 {
		return Outcome{Deduped: true, Spent: usage.Spent, Reserved: usage.Reserved()}
	}
	if !deduped {
		usage.Spent += min(command.Words, usage.Reservations[at].Words)
		usage.Reservations = slices.Delete(slices.Clone(usage.Reservations), at, at+1)
	}
	remembered := []Reservation{{Name: command.Reservation, ExpiresAt: view.clock + int64(settledRetention)}}
	for _, one := range usage.Settled {
		if one.ExpiresAt > view.clock {
			remembered = append(remembered, one)
		}
	}
	usage.Settled = remembered
	view.quotaUsages = view.quotaUsages.Set(command.Session, &usage)
	return Outcome{Deduped: deduped, Spent: usage.Spent, Reserved: usage.Reserved()}
}

func indexOfReservation(reservations []Reservation, name string) int {
	return slices.IndexFunc(reservations, func(one Reservation) bool { return one.Name == name })
}
