package command

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/operator"
)

const (
	// regionCell is the name of the region as a cell with a budget.
	regionCell = "region"
)

// floorBody is the request body that sets the floor's cooling budgets.
type floorBody struct {
	Budgets []account.Budget `json:"budgets"`
}

func newFloorCommand() *cli.Command {
	kind := account.KindFloor
	return &cli.Command{
		Name:  "floor",
		Usage: "set the cooling budgets of racks, data centres and the region",
		Commands: append([]*cli.Command{
			subjectCommand(kind, "set", "set or remove budgets of cells; the others stay", changeFlags(
				&cli.StringSliceFlag{Name: "budget", Usage: "budget as `CELL=WATTS`; a cell is region, a data centre, or a data centre, a slash and a rack"},
				&cli.StringSliceFlag{Name: "remove", Usage: "`cell` whose budget to remove"},
			), setFloor),
		}, commonCommands(kind)...),
	}
}

// setFloor applies the flags budget and remove to the floor's current budgets and
// sends the result as a change. The change starts from the revision in the flag
// if-match or else from the newest.
func setFloor(ctx context.Context, o operatorClient, s account.Subject) error {
	budgets, removals := o.command.StringSlice("budget"), o.command.StringSlice("remove")
	if len(budgets)+len(removals) == 0 {
		return &UsageError{Reason: "floor set changes nothing: give --budget or --remove"}
	}
	var current operator.SubjectBody
	var operatorErr *OperatorError
	err := o.call(ctx, http.MethodGet, subjectPath(s), requestOptions{}, &current)
	if err != nil && (!errors.As(err, &operatorErr) || operatorErr.Problem.Status != http.StatusNotFound) {
		return err
	}
	match := uint64(current.Revision)
	if ifMatch := o.command.Uint64("if-match"); ifMatch != 0 {
		match = ifMatch
	}
	body := floorBody{Budgets: current.Budgets}
	for _, text := range budgets {
		b, err := parseBudget(text)
		if err != nil {
			return err
		}
		body.removeBudget(cellName(b))
		body.Budgets = append(body.Budgets, b)
	}
	for _, cell := range removals {
		if !body.removeBudget(cell) {
			return &UsageError{Reason: fmt.Sprintf("cell %q has no budget", cell)}
		}
	}
	return o.change(ctx, http.MethodPut, s, "", match, body, nil)
}

// removeBudget removes the budget of a cell and reports whether there was one.
func (b *floorBody) removeBudget(cell string) bool {
	before := len(b.Budgets)
	b.Budgets = slices.DeleteFunc(b.Budgets, func(each account.Budget) bool { return cellName(each) == cell })
	return len(b.Budgets) < before
}

// parseBudget parses a budget of the form CELL=WATTS. CELL is region, a data
// centre, or a data centre, a slash and a rack.
func parseBudget(text string) (account.Budget, error) {
	cell, watts, _ := strings.Cut(text, "=")
	value, err := strconv.ParseInt(watts, 10, 64)
	if err != nil || cell == "" {
		return account.Budget{}, &UsageError{Reason: fmt.Sprintf("budget %q is not of the form CELL=WATTS, such as dc-1/rack-2=9000", text)}
	}
	b := account.Budget{Cooling: floor.Watts(value)}
	if cell == regionCell {
		return b, nil
	}
	dataCentre, rack, _ := strings.Cut(cell, "/")
	b.DataCentre = floor.DataCentreID(dataCentre)
	b.Rack = floor.RackID(rack)
	return b, nil
}

// cellName returns the cell of a budget in the syntax of parseBudget.
func cellName(b account.Budget) string {
	switch {
	case b.Rack != "":
		return string(b.DataCentre) + "/" + string(b.Rack)
	case b.DataCentre != "":
		return string(b.DataCentre)
	default:
		return regionCell
	}
}
