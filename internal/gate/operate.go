package gate

import (
	"fmt"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/revision"
	"github.com/lovageroad/lovageroad/pkg/table"
)

type (
	// Edit is an event: an operator changes a subject. The change is made if the
	// subject is at the revision Match, or with Create set if there is no such
	// subject. The same ID never makes two changes. With DryRun set nothing is
	// changed.
	Edit struct {
		Request RequestID
		ID      account.ChangeID
		Author  string
		Text    string
		Subject account.Subject
		Value   account.Value
		Match   revision.Number
		Create  bool
		DryRun  bool
	}

	// View is an event: an operator asks for the settings.
	View struct {
		Request RequestID
	}

	// Recall is an event: an operator asks for the changes of a subject, from the
	// newest, or from the revision At, and no more than Limit.
	Recall struct {
		Request RequestID
		Subject account.Subject
		At      revision.Number
		Limit   int
	}

	// Edited is an effect: the answer to an Edit. Err is nil or a FieldError of
	// package account, or a RacedError, GuaranteeError, UnavailableError or
	// UnsettledError.
	Edited struct {
		Request   RequestID
		Change    account.Change
		Directory *account.Directory
		Followers []account.Name
		Borrowed  []wire.Borrowed
		Err       error
	}

	// Viewed is an effect: the answer to a View.
	Viewed struct {
		Request   RequestID
		Directory *account.Directory
		Spread    Spread
		Err       error
	}

	// Recalled is an effect: the answer to a Recall, newest first.
	Recalled struct {
		Request RequestID
		Changes []account.Change
		Err     error
	}

	// RacedError says that the subject is not at the revision that the operator
	// started from. Current is its newest change, if Exists is set.
	RacedError struct {
		Current account.Change
		Exists  bool
	}

	// GuaranteeError says which guarantee the floor cannot hold.
	GuaranteeError struct {
		Account account.Name
		Shape   floor.Shape
		Count   int
		Reason  string
	}

	// UnsettledError says that nobody can tell now whether a change was accepted.
	// If it was, the history shows its ID.
	UnsettledError struct {
		ID account.ChangeID
	}
)

func (e *RacedError) Error() string {
	if !e.Exists {
		return "there is no such subject"
	}
	return fmt.Sprintf("%s is at revision %d, changed by %s", e.Current.Subject, e.Current.Revision, e.Current.Author)
}

func (e *GuaranteeError) Error() string {
	return e.Reason
}

func (e *UnsettledError) Error() string {
	return fmt.Sprintf("whether change %s was accepted is not known", e.ID)
}

// operate takes an operator's request.
func (d *directory) operate(now time.Time, event machine.Event) {
	d.now = now
	switch e := event.(type) {
	case Edit:
		d.editor.add(now, e)
	case View:
		d.view(now, e)
	case Recall:
		d.recall(e)
	}
}

func (d *directory) view(now time.Time, e View) {
	current, _, known := d.register.Get()
	answer := Viewed{Request: e.Request, Directory: current, Spread: d.known(now)}
	if !known {
		answer.Err = &UnavailableError{Reason: "the settings are not known yet"}
	}
	d.gate.emit(answer)
}

// recall walks back along the changes of a subject.
func (d *directory) recall(e Recall) {
	at := e.At
	if at == 0 {
		if current, _, known := d.register.Get(); known {
			c, _ := current.Change(e.Subject)
			at = c.Revision
		}
	}
	d.walk(e, at, nil)
}

func (d *directory) walk(e Recall, at revision.Number, found []account.Change) {
	if at == 0 || len(found) >= e.Limit {
		d.gate.emit(Recalled{Request: e.Request, Changes: found})
		return
	}
	d.gate.store.Read([]table.Key{account.ChangeKey(d.gate.config.Region, at)}, func(result machine.Stored) {
		if result.Err != nil {
			d.gate.emit(Recalled{Request: e.Request, Err: &UnavailableError{Reason: "the history cannot be read now"}})
			return
		}
		for _, c := range decodeRows(result.Rows) {
			if c.Subject == e.Subject {
				d.walk(e, c.Previous, append(found, c))
				return
			}
		}
		d.gate.emit(Recalled{Request: e.Request, Changes: found})
	})
}

// Settings returns the settings that the gate holds and their revision, and
// false if it knows none yet.
func (g *Gate) Settings() (*account.Directory, revision.Number, bool) {
	return g.directory.register.Get()
}
