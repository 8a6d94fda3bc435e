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
	ctx, cancel, operator, err := service.beginRequest(ctx, payload.Authorization, decommissionTimeout)
	defer cancel()
	if err != nil {
		return nil, err
	}
	statement, err := querylanguage.Parse(payload.Text)
	if err != nil {
		return nil, err
	}
	if statement.Show == nil {
		return service.executeStatement(ctx, operator, statement)
	}
	readCtx, cancelRead := context.WithTimeout(ctx, administrationTimeout)
	defer cancelRead()
	unfiltered, err := service.readTable(readCtx, operator.state, statement.Show.Table)
	if err != nil {
		return nil, err
	}
	rows, err := statement.Show.Apply(unfiltered.columns, unfiltered.rows)
	return &administration.QueryResult{Columns: unfiltered.columns, Rows: rows}, err
}

// executeStatement executes a statement that changes something. For a dry run it only describes
// the effect.
func (service adminService) executeStatement(ctx context.Context, operator authenticatedOperator, statement *querylanguage.Statement) (*administration.QueryResult, error) {
	plan := service.planFor(operator.state, statement)
	request := newAdminRequest(operator.name, statement.Expect, statement.String())
	request.statement = statement.String()
	// A statement may expect either number: operators see both.
	currentNumbers := func(view *feed.View) []uint64 { return []uint64{view.Number, view.ConfigNumber} }
	result := &administration.QueryResult{Columns: []string{}, Rows: [][]string{}}
	if statement.DryRun {
		if err := request.checkExpected(operator.state.view, currentNumbers(operator.state.view)); err != nil {
			return nil, err
		}
		_, effect, err := plan(operator.state.view)
		result.Would = &effect
		return result, err
	}
	changeCtx, cancel := context.WithTimeout(ctx, administrationTimeout)
	defer cancel()
	reply, err := service.node.execute(changeCtx, func(view *feed.View) (decision, error) {
		return request.decide(view, currentNumbers(view), func() (*feed.Change, error) {
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

// planFunc plans the change that a statement makes to a view, and describes its effect. The
// change is nil if the view already is as requested.
type planFunc func(view *feed.View) (change *feed.Change, effect string, err error)

// planFor returns the planFunc of a statement that changes something. State is the confirmed
// state that its operator was authenticated against.
func (service adminService) planFor(state *feedState, statement *querylanguage.Statement) planFunc {
	switch {
	case statement.Set != nil:
		return func(view *feed.View) (*feed.Change, string, error) { return service.planSet(view, statement.Set) }
	case statement.Restore != nil:
		return func(view *feed.View) (*feed.Change, string, error) {
			change, err := service.planRestore(view, state, statement.Restore.Number)
			return change, fmt.Sprintf("config %d would be restored under a new number", statement.Restore.Number), err
		}
	case statement.Empty != nil:
		return func(view *feed.View) (*feed.Change, string, error) {
			change, err := planDomain(view, statement.Empty.Name, feed.StateDrained, statement.Empty.Force)
			return change, "domain " + statement.Empty.Name + " would receive no new requests", err
		}
	case statement.Refill != nil:
		return func(view *feed.View) (*feed.Change, string, error) {
			change, err := planDomain(view, statement.Refill.Name, feed.StateServing, false)
			return change, "domain " + statement.Refill.Name + " would receive requests again", err
		}
	case statement.Enrol != nil:
		return func(view *feed.View) (*feed.Change, string, error) {
			change, err := service.node.planEnrol(view, statement.Enrol.Name)
			return change, "store " + statement.Enrol.Name + " would be added to the store list", err
		}
	default: // Retire: exactly one field of a statement is set, and Show is handled by Query
		return func(view *feed.View) (*feed.Change, string, error) {
			name := statement.Retire.Name
			change, err := planDecommission(view, name, hasName(name))
			return change, "store " + name + " would be decommissioned and removed from the store list", err
		}
	}
}

// planSet plans the change of a set statement. The names in it must exist in the config.
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
	return change, path + " would be set to " + set.Value, err
}

// checkSetNames checks that the names in a set statement exist in the config. The schema checks
// limits.
func checkSetNames(set *querylanguage.Set, decoded *config.Config) error {
	switch {
	case set.Weight != nil:
		if err := checkName("table", set.Weight.First, decoded.WeightTables); err != nil {
			return err
		}
		return checkName("group", set.Weight.Second, decoded.RunnerGroups)
	case set.Quota != nil:
		return checkName("program", set.Quota.First, decoded.Programs)
	}
	return nil
}

// checkName fails with Invalid, and suggests a similar name, if no item has the name.
func checkName[Item any](kind, name string, items map[string]Item) error {
	if _, found := items[name]; found {
		return nil
	}
	known := slices.Sorted(maps.Keys(items))
	return apierror.New(apierror.Invalid, "no "+kind+" is named "+strconv.Quote(name)+querylanguage.Suggest(name, known), "use one of "+strings.Join(known, ", "))
}

// planRestore plans the change that restores an earlier config from the history of a confirmed
// state. The current routing is kept, because its revision must never decrease.
func (service adminService) planRestore(view *feed.View, state *feedState, number uint64) (*feed.Change, error) {
	if state.lacksHistory {
		return nil, historyUnavailableError()
	}
	source, compiled, found, err := state.history.ConfigAt(state.view, number)
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, apierror.New(apierror.NotFound, fmt.Sprintf("config %d is not in the history: the number was never a config, or the history no longer reaches back to it", number), "list the configs in the history with: show changes where kind = config")
	}
	decoded, err := config.Decode(compiled)
	if err != nil {
		return nil, err
	}
	decoded.Routing = nil
	return service.node.planConfig(view, source, decoded)
}
