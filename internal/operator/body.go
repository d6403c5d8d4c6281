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
	// TokenDigits is the number of leading hexadecimal digits of a token's hash
	// that identify the token.
	TokenDigits = 12
)

type (
	// TokenID identifies a token of an account by the first TokenDigits digits of
	// its hash.
	TokenID string

	// Definition is the request body that sets a subject: a template has
	// Parameters, an account Template, Overrides and Hashes, and the floor
	// Budgets. Hashes, if given, replace the tokens of the account.
	Definition struct {
		Template   string              `json:"template,omitempty"`
		Overrides  *account.Overrides  `json:"overrides,omitempty"`
		Parameters *account.Parameters `json:"parameters,omitempty"`
		Budgets    []account.Budget    `json:"budgets,omitempty"`
		Hashes     []account.TokenHash `json:"hashes,omitempty"`
	}

	// SubjectBody is the response body for a subject at a revision. Revision, Change,
	// Author, Time and Text describe the change that created the revision. Token
	// is a new token in plain text, which only the response to its creation holds.
	// AffectedAccounts are the accounts whose parameters the change affects, and Borrowed
	// is the borrowed capacity that may be reclaimed after the change.
	SubjectBody struct {
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

		DryRun           bool            `json:"dryrun,omitempty"`
		AffectedAccounts []account.Name  `json:"followers,omitempty"`
		Borrowed         []wire.Borrowed `json:"borrowed,omitempty"`
		Propagation      *Propagation    `json:"spread,omitempty"`
	}

	// Propagation is the propagation of the settings to the gates and agents of the
	// region, as the asked gate knows it. Revision is the newest revision that
	// this gate holds, and Fresh is false if it may be out of date.
	Propagation struct {
		Revision revision.Number   `json:"revision"`
		Fresh    bool              `json:"fresh"`
		Gates    []GateBody        `json:"gates"`
		Agents   []AgentCount      `json:"agents,omitempty"`
		InForce  PropagationCounts `json:"inforce"`
	}

	// PropagationCounts counts the gates and agents that hold a subject's revision or a
	// newer one, and all that are known.
	PropagationCounts struct {
		Gates     int `json:"gates"`
		AllGates  int `json:"allgates"`
		Agents    int `json:"agents"`
		AllAgents int `json:"allagents"`
	}

	// GateBody is the settings revision that a gate held at the last contact, and
	// the time of that contact.
	GateBody struct {
		Node        machine.Node    `json:"node"`
		Revision    revision.Number `json:"revision"`
		LastContact time.Time       `json:"heard,omitzero"`
	}

	// AgentCount is the number of agents at a settings revision, with the worker of
	// one of them as an example.
	AgentCount struct {
		Revision revision.Number `json:"revision"`
		Agents   int             `json:"agents"`
		Worker   string          `json:"worker"`
	}
)

// bodyOf returns the response body for a subject after a change. The effective
// parameters of an account are resolved in the directory, and left out if it is
// nil.
func bodyOf(c account.Change, d *account.Directory) SubjectBody {
	b := SubjectBody{
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

// definitionOf returns the definition that would set a value, without tokens.
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

// propagationOf returns the propagation of the settings. InForce counts the gates
// and agents that hold the given revision or a newer one.
func propagationOf(number revision.Number, p gate.Propagation) *Propagation {
	body := &Propagation{Revision: p.Revision, Fresh: p.Fresh}
	for _, g := range p.Gates {
		body.Gates = append(body.Gates, GateBody(g))
		body.InForce.AllGates++
		if g.Revision >= number {
			body.InForce.Gates++
		}
	}
	for _, a := range p.Agents {
		body.Agents = append(body.Agents, AgentCount{Revision: a.Revision, Agents: a.Agents, Worker: string(a.Worker)})
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

// setETag sets the header ETag to a revision, which operators return in If-Match.
func setETag(w http.ResponseWriter, number revision.Number) {
	w.Header().Set("ETag", fmt.Sprintf("%q", strconv.FormatUint(uint64(number), 10)))
}

// parseIfMatch returns the revision in the header If-Match, from which the change
// starts, and whether the header is present.
func parseIfMatch(r *http.Request) (revision.Number, bool, error) {
	text := r.Header.Get("If-Match")
	if text == "" {
		return 0, false, nil
	}
	number, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 63)
	if err != nil {
		return 0, false, &RequestError{Status: http.StatusBadRequest, Field: "If-Match", Reason: "must be the ETag of the revision to change, such as \"12\""}
	}
	return revision.Number(number), true, nil
}

// queryNumber returns a positive number from the query, or defaultValue if the key
// is absent.
func queryNumber(r *http.Request, key string, defaultValue uint64) (uint64, error) {
	text := r.URL.Query().Get(key)
	if text == "" {
		return defaultValue, nil
	}
	value, err := strconv.ParseUint(text, 10, 63)
	if err != nil || value == 0 {
		return 0, &RequestError{Status: http.StatusBadRequest, Field: key, Reason: "must be a whole number above zero"}
	}
	return value, nil
}

// queryFlag returns a boolean from the query, and false if the key is absent.
func queryFlag(r *http.Request, key string) (bool, error) {
	switch r.URL.Query().Get(key) {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	default:
		return false, &RequestError{Status: http.StatusBadRequest, Field: key, Reason: "must be true or false"}
	}
}
