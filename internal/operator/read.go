package operator

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/revision"
)

type (
	// ListBody is the subjects of a kind, by name.
	ListBody struct {
		Items []Body `json:"items"`
	}

	// DiffBody is what differs between two changes of a subject.
	DiffBody struct {
		From   revision.Number `json:"from"`
		To     revision.Number `json:"to"`
		Fields []FieldDiff     `json:"fields"`
	}

	// FieldDiff is one field that differs. A side on which it is absent is null.
	FieldDiff struct {
		Field string          `json:"field"`
		From  json.RawMessage `json:"from"`
		To    json.RawMessage `json:"to"`
	}
)

func (s *Server) list(kind account.Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		viewed, ok := s.view(r.Context())
		if !ok {
			return
		}
		if viewed.Err != nil {
			writeError(w, viewed.Err)
			return
		}
		body := ListBody{Items: []Body{}}
		for _, c := range viewed.Directory.Changes() {
			if c.Subject.Kind == kind && !c.Value.Deleted() {
				body.Items = append(body.Items, bodyOf(c, viewed.Directory))
			}
		}
		writeJSON(w, http.StatusOK, body)
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request, subject account.Subject) {
	viewed, ok := s.view(r.Context())
	if !ok {
		return
	}
	c, err := existing(viewed, subject)
	if err != nil {
		writeError(w, err)
		return
	}
	body := bodyOf(c, viewed.Directory)
	body.Spread = spreadOf(c.Revision, viewed.Spread)
	setTag(w, c.Revision)
	writeJSON(w, http.StatusOK, body)
}

// existing returns the newest change of a subject that exists.
func existing(viewed gate.Viewed, subject account.Subject) (account.Change, error) {
	if viewed.Err != nil {
		return account.Change{}, viewed.Err
	}
	c, ok := viewed.Directory.Change(subject)
	if !ok || c.Value.Deleted() {
		return account.Change{}, &RequestError{Status: http.StatusNotFound, Field: "name", Reason: "there is no " + subject.String()}
	}
	return c, nil
}

func (s *Server) history(w http.ResponseWriter, r *http.Request, subject account.Subject) {
	limit, err := number(r, "limit", DefaultHistory)
	if err != nil {
		writeError(w, err)
		return
	}
	recalled, ok := s.recall(r, subject, 0, int(min(limit, MaxHistory)))
	if !ok {
		return
	}
	if recalled.Err == nil && len(recalled.Changes) == 0 {
		recalled.Err = &RequestError{Status: http.StatusNotFound, Field: "name", Reason: "there is no history of " + subject.String()}
	}
	if recalled.Err != nil {
		writeError(w, recalled.Err)
		return
	}
	body := ListBody{Items: []Body{}}
	for _, c := range recalled.Changes {
		body.Items = append(body.Items, bodyOf(c, nil))
	}
	writeJSON(w, http.StatusOK, body)
}

func (s *Server) recall(r *http.Request, subject account.Subject, at revision.Number, limit int) (gate.Recalled, bool) {
	return s.recalls.Ask(r.Context(), func(id gate.RequestID) machine.Event {
		return gate.Recall{Request: id, Subject: subject, At: at, Limit: limit}
	}, nil)
}

// change returns the change of a subject that made a revision; with zero, the
// newest.
func (s *Server) change(r *http.Request, subject account.Subject, field string, at revision.Number) (account.Change, bool, error) {
	recalled, ok := s.recall(r, subject, at, 1)
	if !ok || recalled.Err != nil {
		return account.Change{}, ok, recalled.Err
	}
	if len(recalled.Changes) == 0 {
		return account.Change{}, true, &RequestError{Status: http.StatusNotFound, Field: field, Reason: "that revision did not change " + subject.String()}
	}
	return recalled.Changes[0], true, nil
}

// diff compares two changes of a subject: the newest with the one before it,
// unless the query names others.
func (s *Server) diff(w http.ResponseWriter, r *http.Request, subject account.Subject) {
	newer, err := number(r, "to", 0)
	if err != nil {
		writeError(w, err)
		return
	}
	to, ok, err := s.change(r, subject, "to", revision.Number(newer))
	if !ok {
		return
	}
	if err != nil {
		writeError(w, err)
		return
	}
	older, err := number(r, "from", uint64(to.Previous))
	if err != nil {
		writeError(w, err)
		return
	}
	var from account.Change
	if older != 0 {
		from, ok, err = s.change(r, subject, "from", revision.Number(older))
	}
	if !ok {
		return
	}
	if err != nil {
		writeError(w, err)
		return
	}
	fields, err := compare(from.Value, to.Value)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, DiffBody{From: from.Revision, To: to.Revision, Fields: fields})
}

// compare returns the fields in which two values differ, by name.
func compare(from, to account.Value) ([]FieldDiff, error) {
	before, err := flatten(from)
	if err != nil {
		return nil, err
	}
	after, err := flatten(to)
	if err != nil {
		return nil, err
	}
	fields := make(map[string]bool)
	for field := range before {
		fields[field] = true
	}
	for field := range after {
		fields[field] = true
	}
	diffs := []FieldDiff{}
	for _, field := range slices.Sorted(maps.Keys(fields)) {
		if !bytes.Equal(before[field], after[field]) {
			diffs = append(diffs, FieldDiff{Field: field, From: before[field], To: after[field]})
		}
	}
	return diffs, nil
}

// flatten returns the fields that an operator sets, under their paths.
func flatten(v account.Value) (map[string]json.RawMessage, error) {
	leaves := make(map[string]json.RawMessage)
	body := bodyOf(account.Change{Value: v}, nil)
	data, err := json.Marshal(struct {
		Definition
		Tokens []TokenID `json:"tokens,omitempty"`
	}{definitionOf(v), body.Tokens})
	if err != nil {
		return nil, err
	}
	return leaves, flattenInto(leaves, "", data)
}

func flattenInto(leaves map[string]json.RawMessage, path string, data json.RawMessage) error {
	if data[0] != '{' {
		leaves[path] = data
		return nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	for name, value := range fields {
		inner := name
		if path != "" {
			inner = path + "." + name
		}
		if err := flattenInto(leaves, inner, value); err != nil {
			return err
		}
	}
	return nil
}
