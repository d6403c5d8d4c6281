package operator

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/revision"
)

const (
	// TokenDigits is the number of digits of a token's hash that name the token.
	TokenDigits = 12
)

type (
	// TokenID names a token of an account: the first digits of its hash.
	TokenID string

	// Definition is what an operator sets for a subject. Parameters are those of
	// a template, Template and Overrides those of an account, Budgets those of
	// the floor. Hashes replace the tokens of an account.
	Definition struct {
		Template   string              `json:"template,omitempty"`
		Overrides  *account.Overrides  `json:"overrides,omitempty"`
		Parameters *account.Parameters `json:"parameters,omitempty"`
		Budgets    []account.Budget    `json:"budgets,omitempty"`
		Hashes     []account.TokenHash `json:"hashes,omitempty"`
	}

	// Body is a subject as operators see it. Token is a new token in plain, and
	// shown once. Followers are the accounts whose parameters a change changes,
	// Borrowed what may be reclaimed after it.
	Body struct {
		Kind     account.Kind `json:"kind"`
		Name     string       `json:"name,omitempty"`
		Template string       `json:"template,omitempty"`

		Overrides  *account.Overrides  `json:"overrides,omitempty"`
		Parameters *account.Parameters `json:"parameters,omitempty"`
		Budgets    []account.Budget    `json:"budgets,omitempty"`
		Tokens     []TokenID           `json:"tokens,omitempty"`
		Token      string              `json:"token,omitempty"`
		Deleted    bool                `json:"deleted,omitempty"`

		Revision revision.Number  `json:"revision"`
		Change   account.ChangeID `json:"change,omitempty"`
		Author   string           `json:"author,omitempty"`
		Time     time.Time        `json:"time,omitzero"`
		Text     string           `json:"text,omitempty"`

		DryRun    bool            `json:"dryrun,omitempty"`
		Followers []account.Name  `json:"followers,omitempty"`
		Borrowed  []wire.Borrowed `json:"borrowed,omitempty"`
		Spread    *Spread         `json:"spread,omitempty"`
	}

	// Spread is how far the revision of a subject has got.
	Spread struct {
		Revision revision.Number `json:"revision"`
		Fresh    bool            `json:"fresh"`
		Gates    []GateBody      `json:"gates"`
		Agents   []AgentsBody    `json:"agents,omitempty"`
		InForce  Reach           `json:"inforce"`
	}

	// Reach counts the processes that hold a subject's revision.
	Reach struct {
		Gates     int `json:"gates"`
		AllGates  int `json:"allgates"`
		Agents    int `json:"agents"`
		AllAgents int `json:"allagents"`
	}

	// GateBody is the revision that a gate held when it was last heard of.
	GateBody struct {
		Node     machine.Node    `json:"node"`
		Revision revision.Number `json:"revision"`
		Heard    time.Time       `json:"heard,omitzero"`
	}

	// AgentsBody counts the agents at a revision, and names the worker of one.
	AgentsBody struct {
		Revision revision.Number `json:"revision"`
		Agents   int             `json:"agents"`
		Worker   string          `json:"worker"`
	}
)

// bodyOf returns a subject after a change, with an account's parameters resolved
// in the directory if there is one.
func bodyOf(c account.Change, d *account.Directory) Body {
	b := Body{
		Kind:     c.Subject.Kind,
		Name:     c.Subject.Name,
		Deleted:  c.Value.Deleted(),
		Revision: c.Revision,
		Change:   c.ID,
		Author:   c.Author,
		Time:     c.Time,
		Text:     c.Text,
	}
	switch v := c.Value; {
	case v.Template != nil:
		b.Parameters = &v.Template.Parameters
	case v.Floor != nil:
		b.Budgets = v.Floor.Budgets
	case v.Account != nil:
		b.Template = v.Account.Template
		b.Overrides = &v.Account.Overrides
		for _, t := range v.Account.Tokens {
			b.Tokens = append(b.Tokens, tokenID(t))
		}
		if d != nil {
			resolved := d.Resolve(*v.Account)
			b.Parameters = &resolved.Parameters
		}
	}
	return b
}

// definitionOf returns what an operator has set for a subject.
func definitionOf(v account.Value) Definition {
	switch {
	case v.Template != nil:
		return Definition{Parameters: &v.Template.Parameters}
	case v.Account != nil:
		return Definition{Template: v.Account.Template, Overrides: &v.Account.Overrides}
	case v.Floor != nil:
		return Definition{Budgets: v.Floor.Budgets}
	default:
		return Definition{}
	}
}

func spreadOf(number revision.Number, s gate.Spread) *Spread {
	body := &Spread{Revision: s.Revision, Fresh: s.Fresh}
	for _, g := range s.Gates {
		body.Gates = append(body.Gates, GateBody(g))
		body.InForce.AllGates++
		if g.Revision >= number {
			body.InForce.Gates++
		}
	}
	for _, a := range s.Agents {
		body.Agents = append(body.Agents, AgentsBody{Revision: a.Revision, Agents: a.Agents, Worker: string(a.Worker)})
		body.InForce.AllAgents += a.Agents
		if a.Revision >= number {
			body.InForce.Agents += a.Agents
		}
	}
	return body
}

func tokenID(hash account.TokenHash) TokenID {
	return TokenID(hash[:min(TokenDigits, len(hash))])
}

func setTag(w http.ResponseWriter, number revision.Number) {
	w.Header().Set("ETag", fmt.Sprintf("%q", strconv.FormatUint(uint64(number), 10)))
}

// precondition returns the revision that the operator started from, and whether
// there was one.
func precondition(r *http.Request) (revision.Number, bool, error) {
	text := r.Header.Get("If-Match")
	if text == "" {
		return 0, false, nil
	}
	number, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 63)
	if err != nil {
		return 0, false, &RequestError{Status: http.StatusBadRequest, Field: "If-Match", Reason: "must be the ETag of the version that you change, such as \"12\""}
	}
	return revision.Number(number), true, nil
}

// number returns a number in the query, or the default if it is absent.
func number(r *http.Request, key string, absent uint64) (uint64, error) {
	text := r.URL.Query().Get(key)
	if text == "" {
		return absent, nil
	}
	value, err := strconv.ParseUint(text, 10, 63)
	if err != nil || value == 0 {
		return 0, &RequestError{Status: http.StatusBadRequest, Field: key, Reason: "must be a number above zero"}
	}
	return value, nil
}

// flag returns whether the query switches something on.
func flag(r *http.Request, key string) (bool, error) {
	switch r.URL.Query().Get(key) {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	default:
		return false, &RequestError{Status: http.StatusBadRequest, Field: key, Reason: "must be true or false"}
	}
}
