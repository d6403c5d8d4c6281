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
	// KindTemplate is the kind of a template.
	KindTemplate Kind = "template"

	// KindAccount is the kind of a client account.
	KindAccount Kind = "account"

	// KindFloor is the kind of the cooling budgets of a region.
	KindFloor Kind = "floor"
)

type (
	// Kind is a kind of settings that operators change.
	Kind string

	// ChangeID identifies a change, also one whose revision is not known.
	ChangeID string

	// Subject is what a change changes. The floor has no name.
	Subject struct {
		Kind Kind   `json:"kind"`
		Name string `json:"name,omitempty"`
	}

	// Budget is the cooling that the workers of a cell may draw together. An
	// empty rack stands for the whole data centre, an empty data centre for the
	// whole region.
	Budget struct {
		DataCentre floor.DataCentreID `json:"datacentre,omitempty"`
		Rack       floor.RackID       `json:"rack,omitempty"`
		Cooling    floor.Watts        `json:"cooling"`
	}

	// Floor is what operators set for the floor of a region.
	Floor struct {
		Budgets []Budget `json:"budgets"`
	}

	// Value is what a subject is after a change. A value with no field set says
	// that the subject was deleted.
	Value struct {
		Template *Template `json:"template,omitempty"`
		Account  *Account  `json:"account,omitempty"`
		Floor    *Floor    `json:"floor,omitempty"`
	}

	// Change is one accepted change of one subject. Previous is the revision of
	// the subject's change before it, or zero.
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

	// Head is the newest revision of a region.
	Head struct {
		Revision revision.Number `json:"revision"`
	}
)

// Deleted reports whether the value is that of a deleted subject.
func (v Value) Deleted() bool {
	return v == Value{}
}

// String returns the subject as operators write it.
func (s Subject) String() string {
	if s.Name == "" {
		return string(s.Kind)
	}
	return string(s.Kind) + " " + s.Name
}

// HeadKey returns the row of a region's newest revision.
func HeadKey(region floor.RegionID) table.Key {
	return table.Key("settings/" + string(region))
}

// SubjectKey returns the row that holds the newest change of a subject.
func SubjectKey(region floor.RegionID, s Subject) table.Key {
	return SubjectPrefix(region, s.Kind) + table.Key(s.Name)
}

// SubjectPrefix returns the prefix of the rows of all subjects of a kind.
func SubjectPrefix(region floor.RegionID, kind Kind) table.Key {
	return table.Key(string(kind) + "/" + string(region) + "/")
}

// ChangePrefix returns the prefix of the rows of all changes of a region.
func ChangePrefix(region floor.RegionID) table.Key {
	return table.Key("change/" + string(region) + "/")
}

// ChangeKey returns the row of the change that made a revision. Keys are in the
// order of the revisions.
func ChangeKey(region floor.RegionID, number revision.Number) table.Key {
	return ChangePrefix(region) + table.Key(fmt.Sprintf("%016d", number))
}

// Transaction returns the transaction that makes a change: it writes the head,
// the subject's row and the change's row, if the head has the given version.
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

// Decode reads a change from a row. A row that holds a bare account, as written
// before there were revisions, is that account at revision zero.
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
