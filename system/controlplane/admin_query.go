package controlplane

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"yardrock.example/system/api/gen/administration"
	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/feed"
	"yardrock.example/system/querylanguage"
)

// Query runs one statement of the query language.
func (service adminService) Query(ctx context.Context, payload *administration.QueryPayload) (*administration.QueryResult, error) {
	ctx, cancel, from, err := service.beginRequest(ctx, payload.Authorization, decommissionTimeout)
	defer cancel()
	if err != nil {
		return nil, err
	}
	statement, err := querylanguage.Parse(payload.Text)
	if err != nil {
		return nil, err
	}
	if statement.Show == nil {
		return service.execute(ctx, from, statement)
	}
	reading, stop := context.WithTimeout(ctx, administrationTimeout)
	defer stop()
	complete, err := service.readTable(reading, from.state, statement.Show.What)
	if err != nil {
		return nil, err
	}
	rows, err := statement.Show.Apply(complete.columns, complete.rows)
	return &administration.QueryResult{Columns: complete.columns, Rows: rows}, err
}

// execute carries out a statement that changes something, or, for a dry run, describes what
// it would do.
func (service adminService) execute(ctx context.Context, from authenticatedOperator, statement *querylanguage.Statement) (*administration.QueryResult, error) {
	plan := service.planFor(from.state, statement)
	request := newAdminRequest(from.name, statement.Expect, statement.String())
	request.statement = statement.String()
	// Operators see both numbers and may expect either.
	inForce := func(view *feed.View) []uint64 { return []uint64{view.Number, view.ConfigNumber} }
	result := &administration.QueryResult{Columns: []string{}, Rows: [][]string{}}
	if statement.DryRun {
		if err := request.checkExpected(from.state.view, inForce(from.state.view)); err != nil {
			return nil, err
		}
		_, would, err := plan(from.state.view)
		result.Would = &would
		return result, err
	}
	changing, cancel := context.WithTimeout(ctx, administrationTimeout)
	defer cancel()
	reply, err := service.node.execute(changing, func(view *feed.View) (decision, error) {
		return request.decide(view, inForce(view), func() (*feed.Change, error) {
			change, _, err := plan(view)
			return change, err
		})
	})
	if err == nil && statement.Retire != nil {
		reply, err = service.node.awaitDecommissioned(ctx, statement.Retire.Name)
	}
	changed, err := changeResult(reply, err)
	if err != nil {
		return nil, err
	}
	result.Number, result.Acknowledged = &changed.Number, &changed.Acknowledged
	return result, nil
}

// planFunc plans the change of a statement on a view, nil if everything is as requested
// already, and describes what it would do.
type planFunc func(view *feed.View) (change *feed.Change, would string, err error)

// planFor returns the plan of a statement that changes something. State is the confirmed
// state that authenticated its operator.
func (service adminService) planFor(state *feedState, statement *querylanguage.Statement) planFunc {
	switch {
	case statement.Set != nil:
		return func(view *feed.View) (*feed.Change, string, error) { return service.planSet(view, statement.Set) }
	case statement.Restore != nil:
		return func(view *feed.View) (*feed.Change, string, error) {
			change, err := service.planRestore(view, state, statement.Restore.Number)
			return change, fmt.Sprintf("config %d would be in force again under a new number", statement.Restore.Number), err
		}
	case statement.Empty != nil:
		return func(view *feed.View) (*feed.Change, string, error) {
			change, err := planDomain(view, statement.Empty.Name, feed.StateDrained, statement.Empty.Force)
			return change, "domain " + statement.Empty.Name + " would get no new work", err
		}
	case statement.Refill != nil:
		return func(view *feed.View) (*feed.Change, string, error) {
			change, err := planDomain(view, statement.Refill.Name, feed.StateServing, false)
			return change, "domain " + statement.Refill.Name + " would get work again", err
		}
	case statement.Enrol != nil:
		return func(view *feed.View) (*feed.Change, string, error) {
			change, err := service.node.planEnrol(view, statement.Enrol.Name)
			return change, "store " + statement.Enrol.Name + " would be in the store list", err
		}
	default: // Retire: exactly one of a statement's fields is set, and Show never comes here
		return func(view *feed.View) (*feed.Change, string, error) {
			name := statement.Retire.Name
			change, err := planDecommission(view, name, hasName(name))
			return change, "store " + name + " would be emptied and leave the store list", err
		}
	}
}

// planSet plans the change of a set statement; the names in it must exist in the config.
func (service adminService) planSet(view *feed.View, set *querylanguage.Set) (*feed.Change, string, error) {
	path, err := set.Path()
	if err != nil {
		return nil, "", err
	}
	decoded, err := service.node.decodeConfig(view)
	if err != nil {
		return nil, "", err
	}
	if err := checkSetNames(set, decoded); err != nil {
		return nil, "", err
	}
	var value any = set.Value
	if number, err := strconv.ParseFloat(set.Value, 64); err == nil {
		value = number
	}
	change, err := service.node.planValue(view, path, value)
	return change, path + " would be " + set.Value, err
}

// checkSetNames checks that the names in a set statement exist in the config. Limits are left to
// the schema.
func checkSetNames(set *querylanguage.Set, decoded *config.Config) error {
	switch {
	case set.Weight != nil:
		if err := checkName("table", set.Weight.First, decoded.Tables); err != nil {
			return err
		}
		return checkName("group", set.Weight.Second, decoded.Groups)
	case set.Quota != nil:
		return checkName("program", set.Quota.First, decoded.Programs)
	}
	return nil
}

// checkName fails with Invalid, and suggests a name, if none of the items has the name.
func checkName[Item any](kind, name string, items map[string]Item) error {
	if _, found := items[name]; found {
		return nil
	}
	known := slices.Sorted(maps.Keys(items))
	return apierror.New(apierror.Invalid, "no "+kind+" is named "+strconv.Quote(name)+querylanguage.Suggest(name, known), "name one of "+strings.Join(known, ", "))
}

// planRestore plans the change that puts an earlier config in force again, if the history of
// a confirmed state has it. The routing in force stays: its revisions never fall.
func (service adminService) planRestore(view *feed.View, state *feedState, number uint64) (*feed.Change, error) {
	if state.lacksHistory {
		return nil, farBehindError()
	}
	source, compiled, kept, err := state.history.ConfigAt(state.view, number)
	if err != nil {
		return nil, err
	}
	if !kept {
		return nil, apierror.New(apierror.NotFound, fmt.Sprintf("no config of number %d is kept: it was never in force, or too much has changed since", number), "show changes where kind = config")
	}
	decoded, err := config.Decode(compiled)
	if err != nil {
		return nil, err
	}
	decoded.Routing = nil
	return service.node.planConfig(view, source, decoded)
}
