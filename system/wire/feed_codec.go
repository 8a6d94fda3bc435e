package wire

import (
	"errors"
	"time"

	"yardrock.example/system/feed"
	"yardrock.example/system/wire/schema"
)

func encodeMember(target schema.Member, value *feed.Member) error {
	return encodeNonEmpty([]textField{
		{value.Name, target.SetName}, {value.Role, target.SetRole}, {value.Address, target.SetAddress}, {value.Domain, target.SetDomain},
		{value.State, target.SetState}, {value.AdminAddress, target.SetAdministration}, {value.Machine, target.SetMachine},
	})
}

func decodeMember(source schema.Member, value *feed.Member) error {
	reader := &fieldReader{}
	*value = feed.Member{
		Name: readField(reader, source.Name), Role: readField(reader, source.Role), Address: readField(reader, source.Address), Domain: readField(reader, source.Domain),
		State: readField(reader, source.State), AdminAddress: readField(reader, source.Administration), Machine: readField(reader, source.Machine),
	}
	return reader.err
}

func encodeRunner(target schema.Runner, value *feed.Runner) error {
	target.SetSince(value.Since)
	target.SetWarmed(value.Warmed)
	target.SetSlots(value.Slots)
	target.SetColdFor(int64(value.WarmUpLeft))
	return encodeNonEmpty([]textField{
		{value.Address, target.SetAddress}, {value.Group, target.SetGroup}, {value.Domain, target.SetDomain}, {value.State, target.SetState},
		{value.Incarnation, target.SetLife}, {value.Revision, target.SetRevision},
	})
}

func decodeRunner(source schema.Runner, value *feed.Runner) error {
	reader := &fieldReader{}
	*value = feed.Runner{
		Incarnation: readField(reader, source.Life), Address: readField(reader, source.Address), Group: readField(reader, source.Group), Domain: readField(reader, source.Domain),
		State: readField(reader, source.State), Revision: readField(reader, source.Revision),
		Since: source.Since(), Warmed: source.Warmed(), Slots: source.Slots(), WarmUpLeft: time.Duration(source.ColdFor()),
	}
	return reader.err
}

func encodeDomain(target schema.Domain, value *feed.Domain) error {
	target.SetSince(value.Since)
	return encodeNonEmpty([]textField{{value.Name, target.SetName}, {value.State, target.SetState}})
}

func decodeDomain(source schema.Domain, value *feed.Domain) error {
	reader := &fieldReader{}
	*value = feed.Domain{Name: readField(reader, source.Name), State: readField(reader, source.State), Since: source.Since()}
	return reader.err
}

func encodeRoleLease(target schema.Assignment, value *feed.RoleLease) error {
	target.SetFence(value.FencingToken)
	return encodeNonEmpty([]textField{{value.Key, target.SetKey}, {value.Holder, target.SetOwner}})
}

func decodeRoleLease(source schema.Assignment, value *feed.RoleLease) error {
	reader := &fieldReader{}
	*value = feed.RoleLease{Key: readField(reader, source.Key), Holder: readField(reader, source.Owner), FencingToken: source.Fence()}
	return reader.err
}

func encodeAcceptedRequest(target schema.TakenOrder, value *feed.AcceptedRequest) error {
	target.SetDigest(value.Digest)
	target.SetNumber(value.Number)
	return nil
}

func decodeAcceptedRequest(source schema.TakenOrder, value *feed.AcceptedRequest) error {
	*value = feed.AcceptedRequest{Digest: source.Digest(), Number: source.Number()}
	return nil
}

func encodeRequestHistory(target schema.OrderHistory, value *feed.RequestHistory) error {
	target.SetForgotten(value.EvictedUpTo)
	return encodeData(value.Packed, target.SetPacked)
}

func decodeRequestHistory(source schema.OrderHistory, value *feed.RequestHistory) error {
	reader := &fieldReader{}
	*value = feed.RequestHistory{Packed: readBytes(reader, source.Packed), EvictedUpTo: source.Forgotten()}
	return reader.err
}

func encodeConfigDelta(target schema.ConfigDelta, value *feed.ConfigDelta) error {
	target.SetBase(value.Base)
	return errors.Join(encodeData(value.Source, target.SetSource), encodeData(value.Compiled, target.SetCompiled), encodeData(value.Digest, target.SetDigest))
}

func decodeConfigDelta(source schema.ConfigDelta, value *feed.ConfigDelta) error {
	reader := &fieldReader{}
	*value = feed.ConfigDelta{
		Base: source.Base(), Source: readBytes(reader, source.Source), Compiled: readBytes(reader, source.Compiled), Digest: readBytes(reader, source.Digest),
	}
	return reader.err
}

func encodeView(target schema.View, value *feed.View) error {
	target.SetNumber(value.Number)
	target.SetConfigNumber(value.ConfigNumber)
	target.SetGroups(value.Groups)
	target.SetCopies(value.Replicas)
	return errors.Join(
		encodeNonEmpty([]textField{{value.Fleet, target.SetFleet}, {value.Source, target.SetSource}}),
		encodeData(value.Compiled, target.SetCompiled),
		encodeNonEmptyList(target.NewDomains, value.Domains, encodeDomain),
		encodeNonEmptyList(target.NewRunners, value.Runners, encodeRunner),
		encodeNonEmptyList(target.NewFoundingStores, value.FoundingStores, encodeMember),
		encodeNonEmptyList(target.NewStores, value.Stores, encodeMember),
		encodeNonEmptyList(target.NewControls, value.Controls, encodeMember),
		encodeNonEmptyList(target.NewAssignments, value.RoleLeases, encodeRoleLease),
		encodeNonEmptyList(target.NewRetired, value.Decommissioned, encodeMember),
		encodeNonEmptyTexts(target.NewFounding, value.Founding),
		encodeNested(target.NewRoutingOrders, &value.RoutingRequests, encodeRequestHistory),
		encodeNested(target.NewFeedOrders, &value.AdminRequests, encodeRequestHistory),
	)
}

func decodeView(source schema.View, value *feed.View) error {
	reader := &fieldReader{}
	*value = feed.View{
		Fleet: readField(reader, source.Fleet), Number: source.Number(), ConfigNumber: source.ConfigNumber(),
		Source: readField(reader, source.Source), Compiled: readBytes(reader, source.Compiled),
		Domains: readList(reader, source.Domains, decodeDomain), Runners: readList(reader, source.Runners, decodeRunner),
		FoundingStores: readList(reader, source.FoundingStores, decodeMember), Stores: readList(reader, source.Stores, decodeMember),
		Controls: readList(reader, source.Controls, decodeMember), RoleLeases: readList(reader, source.Assignments, decodeRoleLease),
		Groups: source.Groups(), Replicas: source.Copies(), Founding: readTexts(reader, source.Founding),
		Decommissioned: readList(reader, source.Retired, decodeMember),
	}
	if reader.err != nil {
		return reader.err
	}
	return errors.Join(
		decodeNested(source.RoutingOrders, &value.RoutingRequests, decodeRequestHistory),
		decodeNested(source.FeedOrders, &value.AdminRequests, decodeRequestHistory),
	)
}

// encodeChange omits those structs that only some kinds of change have, if they are empty.
func encodeChange(target schema.Change, value *feed.Change) error {
	target.SetNumber(value.Number)
	target.SetKind(uint16(value.Kind))
	target.SetAt(value.At)
	target.SetExpects(value.Expects)
	target.SetExpected(value.Expected)
	target.SetPartial(value.Partial)
	target.SetFeedOrder(value.AdminRequest)
	target.SetRoutingForgotten(value.RoutingEvictedUpTo)
	err := errors.Join(
		encodeNonEmpty([]textField{{value.By, target.SetBy}, {value.Source, target.SetSource}, {value.Statement, target.SetQuery}}),
		encodeData(value.Compiled, target.SetCompiled),
		encodeNonEmptyList(target.NewRunners, value.Runners, encodeRunner),
		encodeNonEmptyList(target.NewMembers, value.Members, encodeMember),
		encodeNonEmptyTexts(target.NewGone, value.Removed),
		encodeNonEmptyList(target.NewRoutingOrders, value.RoutingRequests, encodeAcceptedRequest),
	)
	if value.Domain != (feed.Domain{}) {
		err = errors.Join(err, encodeNested(target.NewDomain, &value.Domain, encodeDomain))
	}
	if value.Member != (feed.Member{}) {
		err = errors.Join(err, encodeNested(target.NewMember, &value.Member, encodeMember))
	}
	if value.RoleLease != (feed.RoleLease{}) {
		err = errors.Join(err, encodeNested(target.NewAssignment, &value.RoleLease, encodeRoleLease))
	}
	if value.Kind == feed.ChangeBootstrapped || value.Kind == feed.ChangeRecovered || !value.View.IsZero() {
		err = errors.Join(err, encodeNested(target.NewView, &value.View, encodeView))
	}
	if !value.Delta.IsZero() {
		err = errors.Join(err, encodeNested(target.NewDelta, &value.Delta, encodeConfigDelta))
	}
	return err
}

func decodeChange(source schema.Change, value *feed.Change) error {
	reader := &fieldReader{}
	*value = feed.Change{
		Number: source.Number(), Kind: feed.ChangeKind(source.Kind()), At: source.At(), By: readField(reader, source.By),
		Expects: source.Expects(), Expected: source.Expected(), Source: readField(reader, source.Source), Compiled: readBytes(reader, source.Compiled),
		Runners: readList(reader, source.Runners, decodeRunner), Members: readList(reader, source.Members, decodeMember),
		Statement: readField(reader, source.Query), Partial: source.Partial(), Removed: readTexts(reader, source.Gone), AdminRequest: source.FeedOrder(),
		RoutingRequests: readList(reader, source.RoutingOrders, decodeAcceptedRequest), RoutingEvictedUpTo: source.RoutingForgotten(),
	}
	if reader.err != nil {
		return reader.err
	}
	return errors.Join(
		decodeNested(source.Domain, &value.Domain, decodeDomain),
		decodeNested(source.Member, &value.Member, decodeMember),
		decodeNested(source.Assignment, &value.RoleLease, decodeRoleLease),
		decodeNested(source.View, &value.View, decodeView),
		decodeNested(source.Delta, &value.Delta, decodeConfigDelta),
	)
}
