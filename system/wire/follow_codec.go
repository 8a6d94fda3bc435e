package wire

import (
	"errors"
	"time"

	"yardrock.example/system/wire/schema"
)

func encodeFollowQuery(target schema.FollowQuery, value *FollowQuery) error {
	target.SetAfter(value.After)
	target.SetSessionOnly(value.ConfirmOnly)
	target.SetWait(int64(value.Wait))
	target.SetKnown(value.MembersDigest)
	target.SetPacked(value.Packed)
	return encodeNested(target.NewMember, &value.Member, encodeMember)
}

func decodeFollowQuery(source schema.FollowQuery, value *FollowQuery) error {
	*value = FollowQuery{
		After: source.After(), ConfirmOnly: source.SessionOnly(), Wait: time.Duration(source.Wait()), MembersDigest: source.Known(), Packed: source.Packed(),
	}
	return decodeNested(source.Member, &value.Member, decodeMember)
}

func encodeFollowReply(target schema.FollowReply, value *FollowReply) error {
	target.SetNewest(value.Newest)
	target.SetReset(value.Reset)
	target.SetHeld(int64(value.ConfirmationDelay))
	target.SetKnown(value.MembersDigest)
	target.SetRosterRead(value.HasRunnerListAge)
	target.SetRosterAge(int64(value.RunnerListAge))
	err := errors.Join(
		encodeNonEmptyList(target.NewChanges, value.Changes, encodeChange),
		encodeNonEmptyList(target.NewMembers, value.Members, encodeMember),
		encodeData(value.PackedView, target.SetPackedView),
	)
	if !value.View.IsZero() {
		err = errors.Join(err, encodeNested(target.NewView, &value.View, encodeView))
	}
	return err
}

func decodeFollowReply(source schema.FollowReply, value *FollowReply) error {
	reader := &fieldReader{}
	*value = FollowReply{
		Newest: source.Newest(), Reset: source.Reset(), ConfirmationDelay: time.Duration(source.Held()), MembersDigest: source.Known(),
		HasRunnerListAge: source.RosterRead(), RunnerListAge: time.Duration(source.RosterAge()),
		Changes: readList(reader, source.Changes, decodeChange), Members: readList(reader, source.Members, decodeMember),
		PackedView: readBytes(reader, source.PackedView),
	}
	if reader.err != nil {
		return reader.err
	}
	return decodeNested(source.View, &value.View, decodeView)
}

func encodeReplicateViewQuery(target schema.HoldQuery, value *ReplicateViewQuery) error {
	err := errors.Join(
		encodeData(value.PackedView, target.SetPackedView),
		encodeNonEmptyList(target.NewChanges, value.Changes, encodeChange),
	)
	if !value.View.IsZero() {
		err = errors.Join(err, encodeNested(target.NewView, &value.View, encodeView))
	}
	return err
}

func decodeReplicateViewQuery(source schema.HoldQuery, value *ReplicateViewQuery) error {
	reader := &fieldReader{}
	*value = ReplicateViewQuery{PackedView: readBytes(reader, source.PackedView), Changes: readList(reader, source.Changes, decodeChange)}
	if reader.err != nil {
		return reader.err
	}
	return decodeNested(source.View, &value.View, decodeView)
}

func encodeNewestViewQuery(target schema.NewestQuery, value *NewestViewQuery) error {
	target.SetAfter(value.After)
	target.SetPacked(value.Packed)
	return nil
}

func decodeNewestViewQuery(source schema.NewestQuery, value *NewestViewQuery) error {
	*value = NewestViewQuery{After: source.After(), Packed: source.Packed()}
	return nil
}

func encodeNewestViewReply(target schema.NewestReply, value *NewestViewReply) error {
	target.SetNumber(value.Number)
	target.SetControlled(value.ControlConfirmed)
	err := encodeData(value.PackedView, target.SetPackedView)
	if !value.View.IsZero() {
		err = errors.Join(err, encodeNested(target.NewView, &value.View, encodeView))
	}
	return err
}

func decodeNewestViewReply(source schema.NewestReply, value *NewestViewReply) error {
	reader := &fieldReader{}
	*value = NewestViewReply{Number: source.Number(), ControlConfirmed: source.Controlled(), PackedView: readBytes(reader, source.PackedView)}
	if reader.err != nil {
		return reader.err
	}
	return decodeNested(source.View, &value.View, decodeView)
}

func encodeMemberSessionBatch(target schema.SessionBatch, value *MemberSessionBatch) error {
	return errors.Join(target.SetFrom(value.From), encodeNonEmptyList(target.NewSessions, value.Sessions, encodeMemberSession))
}

func decodeMemberSessionBatch(source schema.SessionBatch, value *MemberSessionBatch) error {
	reader := &fieldReader{}
	*value = MemberSessionBatch{From: readField(reader, source.From), Sessions: readList(reader, source.Sessions, decodeMemberSession)}
	return reader.err
}

func encodeMemberSession(target schema.SessionNote, value *MemberSession) error {
	target.SetAge(int64(value.Age))
	return encodeNested(target.NewMember, &value.Member, encodeMember)
}

func decodeMemberSession(source schema.SessionNote, value *MemberSession) error {
	value.Age = time.Duration(source.Age())
	return decodeNested(source.Member, &value.Member, decodeMember)
}
