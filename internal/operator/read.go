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
	// ListBody lists the subjects of a kind by name, or the changes of a subject
	// from the newest.
	ListBody struct {
		Items []SubjectBody `json:"items"`
	}

	// DiffBody lists the fields that differ between two revisions of a subject.
	DiffBody struct {
		From   revision.Number `json:"from"`
		To     revision.Number `json:"to"`
		Fields []FieldDiff     `json:"fields"`
	}

	// FieldDiff is a field that differs, with its JSON values. An absent value is
	// null.
	FieldDiff struct {
		Field string          `json:"field"`
		From  json.RawMessage `json:"from"`
		To    json.RawMessage `json:"to"`
	}
)

// list responds with all subjects of a kind that are not deleted.
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
		body := ListBody{Items: []SubjectBody{}}
		for _, c := range viewed.Directory.Changes() {
			if c.Subject.Kind == kind && !c.Value.Deleted() {
				body.Items = append(body.Items, bodyOf(c, viewed.Directory))
			}
		}
		writeJSON(w, http.StatusOK, body)
	}
}

// get responds with a subject and the propagation of its revision.
func (s *Server) get(w http.ResponseWriter, r *http.Request, subject account.Subject) {
	viewed, ok := s.view(r.Context())
	if !ok {
		return
	}
	c, err := findExisting(viewed, subject)
	if err != nil {
		writeError(w, err)
		return
	}
	body := bodyOf(c, viewed.Directory)
	body.Propagation = propagationOf(c.Revision, viewed.Propagation)
	setETag(w, c.Revision)
	writeJSON(w, http.StatusOK, body)
}

// findExisting returns the newest change of a subject, and a RequestError with
// status 404 if the subject does not exist.
func findExisting(viewed gate.Viewed, subject account.Subject) (account.Change, error) {
	if viewed.Err != nil {
		return account.Change{}, viewed.Err
	}
	c, ok := viewed.Directory.Change(subject)
	if !ok || c.Value.Deleted() {
		return account.Change{}, &RequestError{Status: http.StatusNotFound, Field: "name", Reason: "there is no " + subject.String()}
	}
	return c, nil
}

// history responds with the changes of a subject, newest first, also of a deleted
// one.
func (s *Server) history(w http.ResponseWriter, r *http.Request, subject account.Subject) {
	limit, err := queryNumber(r, "limit", DefaultHistory)
	if err != nil {
		writeError(w, err)
		return
	}
	reply, ok := s.readHistory(r, subject, 0, int(min(limit, MaxHistory)))
	if !ok {
		return
	}
	if reply.Err == nil && len(reply.Changes) == 0 {
		reply.Err = &RequestError{Status: http.StatusNotFound, Field: "name", Reason: "there is no history of " + subject.String()}
	}
	if reply.Err != nil {
		writeError(w, reply.Err)
		return
	}
	body := ListBody{Items: []SubjectBody{}}
	for _, c := range reply.Changes {
		body.Items = append(body.Items, bodyOf(c, nil))
	}
	writeJSON(w, http.StatusOK, body)
}

// readHistory asks the gate for up to limit changes of a subject, from the given
// revision or, with zero, from the newest. It returns false if the client has
// disconnected.
func (s *Server) readHistory(r *http.Request, subject account.Subject, at revision.Number, limit int) (gate.HistoryRead, bool) {
	return s.histories.Ask(r.Context(), func(id gate.RequestID) machine.Event {
		return gate.History{Request: id, Subject: subject, At: at, Limit: limit}
	}, nil)
}

// changeAt returns the change of a subject that created a revision; with revision
// zero, the newest change. If there is no such change, it returns a RequestError
// with status 404 that names field, the query key of the revision. It returns false
// if the client has disconnected.
func (s *Server) changeAt(r *http.Request, subject account.Subject, field string, at revision.Number) (account.Change, bool, error) {
	reply, ok := s.readHistory(r, subject, at, 1)
	if !ok || reply.Err != nil {
		return account.Change{}, ok, reply.Err
	}
	if len(reply.Changes) == 0 {
		return account.Change{}, true, &RequestError{Status: http.StatusNotFound, Field: field, Reason: "that revision did not change " + subject.String()}
	}
	return reply.Changes[0], true, nil
}

// diff compares two revisions of a subject: by default, the newest with the one
// before it.
func (s *Server) diff(w http.ResponseWriter, r *http.Request, subject account.Subject) {
	newer, err := queryNumber(r, "to", 0)
	if err != nil {
		writeError(w, err)
		return
	}
	to, ok, err := s.changeAt(r, subject, "to", revision.Number(newer))
	if !ok {
		return
	}
	if err != nil {
		writeError(w, err)
		return
	}
	older, err := queryNumber(r, "from", uint64(to.Previous))
	if err != nil {
		writeError(w, err)
		return
	}
	var from account.Change
	if older != 0 {
		from, ok, err = s.changeAt(r, subject, "from", revision.Number(older))
	}
	if !ok {
		return
	}
	if err != nil {
		writeError(w, err)
		return
	}
	fields, err := compareValues(from.Value, to.Value)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, DiffBody{From: from.Revision, To: to.Revision, Fields: fields})
}

// compareValues returns the fields in which two values differ, sorted by path.
func compareValues(from, to account.Value) ([]FieldDiff, error) {
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

// flatten returns the leaf fields of a value's definition and the token
// identifiers, keyed by their dotted paths.
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
