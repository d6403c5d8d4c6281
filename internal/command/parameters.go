package command

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
)

// parameterFlags returns the flags that set parameters of an account or a
// template.
func parameterFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "guarantee", Usage: "guaranteed `shapes` as COUNTxWORKERSxACCELERATORS[@ADJACENCY][/CORESc][/MiBm], such as 2x4x8@rack; repeat for more, or none to remove all"},
		&cli.IntFlag{Name: "queue", Usage: "`number` of jobs that may wait"},
		&cli.StringFlag{Name: "order", Usage: "`classes` by descending priority, with commas"},
		&cli.StringFlag{Name: "urgent", Usage: "`classes` that come before those in order and may evict other jobs, with commas"},
		&cli.StringFlag{Name: "weights", Usage: "weights of completion time and fragmentation, such as `2,1`"},
	}
}

// parameterPatch is the JSON merge patch that changes parameters: an absent field
// stays as it is, and null resets it to the template or the default.
type parameterPatch map[string]json.RawMessage

// readParameters returns a patch of the parameters whose flags are set.
func readParameters(c *cli.Command) (parameterPatch, error) {
	patch := make(parameterPatch)
	if c.IsSet("guarantee") {
		guarantees, err := parseGuarantees(c.StringSlice("guarantee"))
		if err != nil {
			return nil, err
		}
		if err := patch.set("guarantees", guarantees); err != nil {
			return nil, err
		}
	}
	if c.IsSet("queue") {
		if err := patch.set("queue", c.Int("queue")); err != nil {
			return nil, err
		}
	}
	for _, name := range []string{"order", "urgent"} {
		if c.IsSet(name) {
			if err := patch.set(name, splitList(c.String(name))); err != nil {
				return nil, err
			}
		}
	}
	if c.IsSet("weights") {
		weights, err := parseWeights(c.String("weights"))
		if err != nil {
			return nil, err
		}
		return patch, patch.set("weights", weights)
	}
	return patch, nil
}

func (p parameterPatch) set(name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	p[name] = data
	return nil
}

// resetToTemplate resets the named parameters, so that the account takes them from
// its template again.
func (p parameterPatch) resetToTemplate(names []string) error {
	for _, name := range names {
		switch name {
		case "guarantees", "queue", "order", "urgent", "weights":
			p[name] = json.RawMessage("null")
		default:
			return &UsageError{Reason: fmt.Sprintf("%q is not a parameter: use guarantees, queue, order, urgent or weights", name)}
		}
	}
	return nil
}

// splitList splits a list at its commas. The empty text is the empty list.
func splitList(text string) []string {
	if text == "" {
		return []string{}
	}
	return strings.Split(text, ",")
}

func parseWeights(text string) (account.Weights, error) {
	completion, fragmentation, _ := strings.Cut(text, ",")
	completionWeight, err := strconv.ParseFloat(completion, 64)
	fragmentationWeight, fragmentationErr := strconv.ParseFloat(fragmentation, 64)
	if err != nil || fragmentationErr != nil {
		return account.Weights{}, &UsageError{Reason: fmt.Sprintf("weights %q are not two numbers with a comma, such as 2,1", text)}
	}
	return account.Weights{Completion: completionWeight, Fragmentation: fragmentationWeight}, nil
}

// parseGuarantees parses the values of the flag guarantee. The value none stands
// for no guarantee.
func parseGuarantees(texts []string) ([]account.Guarantee, error) {
	guarantees := []account.Guarantee{}
	for _, text := range texts {
		if text == "none" {
			continue
		}
		g, err := parseGuarantee(text)
		if err != nil {
			return nil, err
		}
		guarantees = append(guarantees, g)
	}
	return guarantees, nil
}

// parseGuarantee parses a guarantee in the syntax of guaranteeText.
func parseGuarantee(text string) (account.Guarantee, error) {
	var g account.Guarantee
	usageErr := &UsageError{Reason: fmt.Sprintf("guarantee %q is not of the form COUNTxWORKERSxACCELERATORS[@ADJACENCY][/CORESc][/MiBm], such as 2x4x8@rack", text)}
	parts := strings.Split(text, "/")
	shape, adjacency, _ := strings.Cut(parts[0], "@")
	numbers := strings.Split(shape, "x")
	if len(numbers) != 3 {
		return g, usageErr
	}
	g.Shape.Adjacency = floor.Adjacency(adjacency)
	for i, target := range []*int{&g.Count, &g.Shape.Workers, &g.Shape.Accelerators} {
		value, err := strconv.Atoi(numbers[i])
		if err != nil {
			return g, usageErr
		}
		*target = value
	}
	for _, part := range parts[1:] {
		value, err := strconv.Atoi(strings.TrimRight(part, "cm"))
		if err != nil {
			return g, usageErr
		}
		switch part[len(part)-1] {
		case 'c':
			g.Shape.Cores = value
		case 'm':
			g.Shape.Memory = floor.MiB(value)
		default:
			return g, usageErr
		}
	}
	return g, nil
}

// guaranteeText returns a guarantee in the syntax
// COUNTxWORKERSxACCELERATORS[@ADJACENCY][/CORESc][/MiBm], such as 2x4x8@rack.
func guaranteeText(g account.Guarantee) string {
	text := fmt.Sprintf("%dx%dx%d", g.Count, max(1, g.Shape.Workers), g.Shape.Accelerators)
	if g.Shape.Adjacency != "" {
		text += "@" + string(g.Shape.Adjacency)
	}
	if g.Shape.Cores > 0 {
		text += fmt.Sprintf("/%dc", g.Shape.Cores)
	}
	if g.Shape.Memory > 0 {
		text += fmt.Sprintf("/%dm", g.Shape.Memory)
	}
	return text
}
