package account

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/pkg/revision"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// KindTemplate is the kind of templates.
	KindTemplate Kind = "template"

	// KindAccount is the kind of client accounts.
	KindAccount Kind = "account"

	// KindFloor is the kind of the cooling budgets of a region.
	KindFloor Kind = "floor"
)

type (
	// Kind is a kind of settings that operators change.
	Kind string

	// ChangeID identifies a change independently of its revision, for example one
	// whose write had an uncertain outcome.
	ChangeID string

	// Subject identifies what a change applies to. A region has one floor, which
	// has no name.
	Subject struct {
		Kind Kind   `json:"kind"`
		Name string `json:"name,omitempty"`
	}

	// Budget is the cooling in watts that the workers of a rack, data centre or
	// region may use together. An empty rack stands for the whole data centre,
	// an empty data centre for the whole region.
	Budget struct {
		DataCentre floor.DataCentreID `json:"datacentre,omitempty"`
		Rack       floor.RackID       `json:"rack,omitempty"`
		Cooling    floor.Watts        `json:"cooling"`
	}

	// Floor holds the operators' settings for the machines of a region.
	Floor struct {
		Budgets []Budget `json:"budgets"`
	}

	// Value is the new state of a subject. A value with no field set says that
	// the subject was deleted.
	Value struct {
		Template *Template `json:"template,omitempty"`
		Account  *Account  `json:"account,omitempty"`
		Floor    *Floor    `json:"floor,omitempty"`
	}

	// Change is an accepted change of one subject. Previous is the revision of the
	// preceding change of the subject, or zero. Text is the author's comment.
	Change struct {
		ID       ChangeID        `json:"id"`
		Revision revision.Number `json:"revision"`
		Previous revision.Number `json:"previous,omitempty"`
		Author   string          `json:"author"`
		Time     time.Time       `json:"time"`
		Text     string          `json:"text,omitempty"`
		Subject  Subject         `json:"subject"`
		Value    Value           `json:"value"`
	}

	// Head is the row that holds the newest revision of a region.
	Head struct {
		Revision revision.Number `json:"revision"`
	}
)

// Deleted reports whether the value says that the subject was deleted.
func (v Value) Deleted() bool {
	return v == Value{}
}

// String returns the subject in the form that operators write, such as
// "account parks".
func (s Subject) String() string {
	if s.Name == "" {
		return string(s.Kind)
	}
	return string(s.Kind) + " " + s.Name
}

// HeadKey returns the key of the row that holds a region's newest revision.
func HeadKey(region floor.RegionID) table.Key {
	return table.Key("settings/" + string(region))
}

// SubjectKey returns the key of the row that holds the newest change of a subject.
func SubjectKey(region floor.RegionID, s Subject) table.Key {
	return SubjectPrefix(region, s.Kind) + table.Key(s.Name)
}

// SubjectPrefix returns the key prefix of the subjects of a kind.
func SubjectPrefix(region floor.RegionID, kind Kind) table.Key {
	return table.Key(string(kind) + "/" + string(region) + "/")
}

// ChangePrefix returns the key prefix of the changes of a region.
func ChangePrefix(region floor.RegionID) table.Key {
	return table.Key("change/" + string(region) + "/")
}

// ChangeKey returns the key of the change with a revision. Keys sort by revision.
func ChangeKey(region floor.RegionID, number revision.Number) table.Key {
	return ChangePrefix(region) + table.Key(fmt.Sprintf("%016d", number))
}

// Transaction returns the transaction that commits a change. It writes the head row,
// the subject's row and the change's row, provided that the head row has the given
// version and that the revision is not taken.
func Transaction(region floor.RegionID, head table.Version, c Change) (table.Txn, error) {
	newest, err := json.Marshal(Head{Revision: c.Revision})
	if err != nil {
		return table.Txn{}, err
	}
	value, err := json.Marshal(c)
	if err != nil {
		return table.Txn{}, err
	}
	return table.Txn{
		Checks: []table.Check{
			{Key: HeadKey(region), Version: head},
			{Key: ChangeKey(region, c.Revision), Version: table.Absent},
		},
		Writes: []table.Write{
			{Key: HeadKey(region), Value: newest},
			{Key: SubjectKey(region, c.Subject), Value: value},
			{Key: ChangeKey(region, c.Revision), Value: value},
		},
	}, nil
}

// Decode decodes the value of a row as a change. A row in the older format, which
// has no revisions, holds only an account; it is returned as a change at revision
// zero.
func Decode(data []byte) (Change, error) {
	var c Change
	if err := json.Unmarshal(data, &c); err != nil {
		return Change{}, err
	}
	if c.Subject.Kind != "" {
		return c, nil
	}
	var a Account
	if err := json.Unmarshal(data, &a); err != nil {
		return Change{}, err
	}
	return Change{Subject: Subject{Kind: KindAccount, Name: string(a.Name)}, Value: Value{Account: &a}}, nil
}
