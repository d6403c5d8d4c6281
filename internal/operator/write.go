package operator

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/problem"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/revision"
)

// put creates a subject or replaces its definition.
func (s *Server) put(w http.ResponseWriter, r *http.Request, subject account.Subject) {
	definition, err := decodeDefinition(w, r, subject.Kind)
	if err != nil {
		writeError(w, err)
		return
	}
	s.write(w, r, subject, func(current account.Change) (account.Value, string, error) {
		return s.replace(current, definition)
	})
}

// patch changes fields of a subject by a JSON merge patch (RFC 7396).
func (s *Server) patch(w http.ResponseWriter, r *http.Request, subject account.Subject) {
	patch, err := readBody(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	s.writeExisting(w, r, subject, func(current account.Change) (account.Value, string, error) {
		definition, err := mergeDefinition(definitionOf(current.Value), patch, subject.Kind)
		if err != nil {
			return account.Value{}, "", err
		}
		return s.replace(current, definition)
	})
}

// remove deletes a subject. Its history stays.
func (s *Server) remove(w http.ResponseWriter, r *http.Request, subject account.Subject) {
	s.writeExisting(w, r, subject, func(account.Change) (account.Value, string, error) {
		return account.Value{}, "", nil
	})
}

// rollback makes a change that restores the value that a subject had at a
// revision. The tokens of an account stay as they are, so that a removed token does
// not become valid again. If the request gives no text for the history, the text
// names the revision.
func (s *Server) rollback(w http.ResponseWriter, r *http.Request, subject account.Subject) {
	to, err := queryNumber(r, "to", 0)
	if err == nil && to == 0 {
		err = &RequestError{Status: http.StatusBadRequest, Field: "to", Reason: "the revision to roll back to is required"}
	}
	if err != nil {
		writeError(w, err)
		return
	}
	old, ok, err := s.changeAt(r, subject, "to", revision.Number(to))
	if !ok {
		return
	}
	if err != nil {
		writeError(w, err)
		return
	}
	if r.URL.Query().Get("text") == "" {
		query := r.URL.Query()
		query.Set("text", fmt.Sprintf("roll back to revision %d", to))
		r.URL.RawQuery = query.Encode()
	}
	s.write(w, r, subject, func(current account.Change) (account.Value, string, error) {
		value := old.Value
		if value.Account != nil {
			restored := *value.Account
			restored.Tokens = nil
			if a := current.Value.Account; a != nil {
				restored.Tokens = a.Tokens
			}
			value.Account = &restored
		}
		return value, "", nil
	})
}

// addToken adds a token to an account; only this response holds it in plain text.
// With rotate=true it replaces all other tokens.
func (s *Server) addToken(w http.ResponseWriter, r *http.Request) {
	rotate, err := queryFlag(r, "rotate")
	if err != nil {
		writeError(w, err)
		return
	}
	s.writeTokens(w, r, func(tokens []account.TokenHash) ([]account.TokenHash, string, error) {
		token := rand.Text()
		if rotate {
			tokens = nil
		}
		return append(slices.Clone(tokens), account.HashToken(token)), token, nil
	})
}

// removeToken removes the token with the identifier in the path.
func (s *Server) removeToken(w http.ResponseWriter, r *http.Request) {
	id := TokenID(chi.URLParam(r, "token"))
	s.writeTokens(w, r, func(tokens []account.TokenHash) ([]account.TokenHash, string, error) {
		remaining := slices.DeleteFunc(slices.Clone(tokens), func(t account.TokenHash) bool { return tokenID(t) == id })
		if len(remaining) == len(tokens) {
			return nil, "", &RequestError{Status: http.StatusNotFound, Field: "token", Reason: "the account has no such token"}
		}
		return remaining, "", nil
	})
}

// writeTokens changes the tokens of an existing account by edit, which returns the
// new hashes and, if it created one, the new token.
func (s *Server) writeTokens(w http.ResponseWriter, r *http.Request, edit func([]account.TokenHash) ([]account.TokenHash, string, error)) {
	subject := account.Subject{Kind: account.KindAccount, Name: chi.URLParam(r, "name")}
	s.writeExisting(w, r, subject, func(current account.Change) (account.Value, string, error) {
		if current.Value.Account == nil {
			return account.Value{}, "", &RequestError{Status: http.StatusNotFound, Field: "name", Reason: "there is no " + subject.String()}
		}
		changed := *current.Value.Account
		tokens, token, err := edit(changed.Tokens)
		changed.Tokens = tokens
		return account.Value{Account: &changed}, token, err
	})
}

// replace returns the value of a subject with a definition applied. For a new
// account without given hashes it creates a token and returns it too.
func (s *Server) replace(current account.Change, d Definition) (account.Value, string, error) {
	switch current.Subject.Kind {
	case account.KindTemplate:
		return account.Value{Template: &account.Template{Name: current.Subject.Name, Parameters: *d.Parameters}}, "", nil
	case account.KindFloor:
		return account.Value{Floor: &account.Floor{Budgets: d.Budgets}}, "", nil
	}
	a := &account.Account{
		Name:       account.Name(current.Subject.Name),
		Region:     s.region,
		Template:   d.Template,
		Parameters: account.DefaultParameters(),
	}
	if d.Overrides != nil {
		a.Overrides = *d.Overrides
	}
	token := ""
	switch existing := current.Value.Account; {
	case len(d.Hashes) > 0:
		a.Tokens = d.Hashes
	case existing != nil:
		a.Tokens = existing.Tokens
	default:
		token = rand.Text()
		a.Tokens = []account.TokenHash{account.HashToken(token)}
	}
	return account.Value{Account: a}, token, nil
}

// updateFunc computes the value of a subject after a request, from its newest
// change. It also returns the token if the request creates one.
type updateFunc func(current account.Change) (account.Value, string, error)

// writeExisting changes a subject. It refuses the request if the subject does not
// exist or If-Match is absent.
func (s *Server) writeExisting(w http.ResponseWriter, r *http.Request, subject account.Subject, update updateFunc) {
	viewed, ok := s.view(r.Context())
	if !ok {
		return
	}
	if _, err := findExisting(viewed, subject); err != nil {
		writeError(w, err)
		return
	}
	if r.Header.Get("If-Match") == "" {
		writeError(w, missingIfMatch())
		return
	}
	s.write(w, r, subject, update)
}

// write changes a subject if it is still at the revision in If-Match. Without
// If-Match it creates the subject, which must not exist.
func (s *Server) write(w http.ResponseWriter, r *http.Request, subject account.Subject, update updateFunc) {
	match, conditional, err := parseIfMatch(r)
	if err != nil {
		writeError(w, err)
		return
	}
	dryRun, err := queryFlag(r, "dry-run")
	if err != nil {
		writeError(w, err)
		return
	}
	current, ok, err := s.current(r.Context(), subject, match)
	if !ok {
		return
	}
	if err == nil && conditional && current.Revision != match {
		exists := !current.Value.Deleted()
		writeConflict(w, gate.Edit{}, &gate.RevisionConflictError{Current: current, Exists: exists})
		return
	}
	if err != nil {
		writeError(w, err)
		return
	}
	next, token, err := update(current)
	if err != nil {
		writeError(w, err)
		return
	}
	edit := gate.Edit{
		ID:      changeID(r),
		Author:  authorOf(r),
		Text:    r.URL.Query().Get("text"),
		Subject: subject,
		Value:   next,
		Match:   match,
		Create:  !conditional,
		DryRun:  dryRun,
	}
	edited, ok := s.edits.Ask(r.Context(), func(id gate.RequestID) machine.Event {
		edit.Request = id
		return edit
	}, nil)
	if !ok {
		return
	}
	respond(w, edit, edited, token)
}

// current returns the newest change of a subject. If the gate does not yet hold
// the revision in If-Match, it waits up to CatchUpTimeout. It returns false if the
// client has disconnected.
func (s *Server) current(ctx context.Context, subject account.Subject, match revision.Number) (account.Change, bool, error) {
	for wait := CatchUpTimeout; ; wait -= CatchUpInterval {
		viewed, ok := s.view(ctx)
		if !ok || viewed.Err != nil {
			return account.Change{}, ok, viewed.Err
		}
		c, _ := viewed.Directory.Change(subject)
		c.Subject = subject
		if c.Revision >= match || wait <= 0 {
			return c, true, nil
		}
		select {
		case <-ctx.Done():
			return account.Change{}, false, nil
		case <-time.After(CatchUpInterval):
		}
	}
}

// respond writes the subject after the change, or the reason why the change was
// refused.
func respond(w http.ResponseWriter, edit gate.Edit, edited gate.Edited, token string) {
	var conflict *gate.RevisionConflictError
	if errors.As(edited.Err, &conflict) {
		writeConflict(w, edit, conflict)
		return
	}
	if edited.Err != nil {
		writeError(w, edited.Err)
		return
	}
	body := bodyOf(edited.Change, edited.Directory)
	body.DryRun = edit.DryRun
	body.AffectedAccounts = edited.AffectedAccounts
	body.Borrowed = edited.Borrowed
	if edit.DryRun {
		writeJSON(w, http.StatusOK, body)
		return
	}
	if a := edited.Change.Value.Account; a != nil && token != "" && slices.Contains(a.Tokens, account.HashToken(token)) {
		body.Token = token
	}
	setETag(w, edited.Change.Revision)
	status := http.StatusOK
	if edit.Create {
		status = http.StatusCreated
	}
	writeJSON(w, status, body)
}

// writeConflict writes the problem for a change that does not start from the
// current revision, with the subject's present state and ETag if it exists. The
// status is 412, or 428 if a request without If-Match meets an existing subject.
func writeConflict(w http.ResponseWriter, edit gate.Edit, conflict *gate.RevisionConflictError) {
	if !conflict.Exists {
		p := Problem{Details: problem.Details{Status: http.StatusPreconditionFailed, Field: "If-Match", Detail: conflict.Error()}}
		writeProblem(w, p)
		return
	}
	body := bodyOf(conflict.Current, nil)
	setETag(w, conflict.Current.Revision)
	p := Problem{Details: problem.Details{Status: http.StatusPreconditionFailed, Field: "If-Match", Detail: conflict.Error()}, Current: &body}
	if edit.Create {
		p.Status = http.StatusPreconditionRequired
		p.Detail = conflict.Error() + "; name it in If-Match to change it"
	}
	writeProblem(w, p)
}

func missingIfMatch() error {
	return &RequestError{
		Status: http.StatusPreconditionRequired,
		Field:  "If-Match",
		Reason: "the ETag of the revision to change is required",
	}
}

// changeID returns the identifier of the change from the request, or a random one
// if the header is absent or longer than account.MaxName.
func changeID(r *http.Request) account.ChangeID {
	if id := r.Header.Get(ChangeIDHeader); id != "" && len(id) <= account.MaxName {
		return account.ChangeID(id)
	}
	return account.ChangeID(rand.Text())
}
