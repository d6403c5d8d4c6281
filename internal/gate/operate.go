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
	// Edit is an event: an operator changes a subject. The change is made if
	// the subject is at the revision Match or, with Create set, if there is no
	// such subject. Two edits with the same ID make at most one change. With
	// DryRun set, the change is checked and not made.
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

	// History is an event: an operator asks for the history of a subject, from
	// the revision At back, or from the newest if At is zero, and for at most
	// Limit changes.
	History struct {
		Request RequestID
		Subject account.Subject
		At      revision.Number
		Limit   int
	}

	// Edited is an effect: the answer to an Edit. Err is nil, a FieldError of
	// package account, or a RevisionConflictError, GuaranteeError, UnavailableError
	// or UncertainChangeError. AffectedAccounts are the accounts whose parameters the
	// change alters, and Borrowed lists what accounts use beyond their guarantees
	// after it.
	Edited struct {
		Request          RequestID
		Change           account.Change
		Directory        *account.Directory
		AffectedAccounts []account.Name
		Borrowed         []wire.Borrowed
		Err              error
	}

	// Viewed is an effect: the answer to a View.
	Viewed struct {
		Request     RequestID
		Directory   *account.Directory
		Propagation Propagation
		Err         error
	}

	// HistoryRead is an effect: the answer to a History, newest first.
	HistoryRead struct {
		Request RequestID
		Changes []account.Change
		Err     error
	}

	// RevisionConflictError reports that the subject is not at the revision that the edit
	// was based on. Current is its newest change, if Exists is set.
	RevisionConflictError struct {
		Current account.Change
		Exists  bool
	}

	// GuaranteeError reports a guarantee that the floor cannot satisfy.
	GuaranteeError struct {
		Account account.Name
		Shape   floor.Shape
		Count   int
		Reason  string
	}

	// UncertainChangeError reports that it is not known whether a change was
	// accepted. If it was, the subject's history shows its ID.
	UncertainChangeError struct {
		ID account.ChangeID
	}
)

func (e *RevisionConflictError) Error() string {
	if !e.Exists {
		return "there is no such subject"
	}
	return fmt.Sprintf("%s is at revision %d, changed by %s", e.Current.Subject, e.Current.Revision, e.Current.Author)
}

func (e *GuaranteeError) Error() string {
	return e.Reason
}

func (e *UncertainChangeError) Error() string {
	return fmt.Sprintf("it is not known whether change %s was accepted", e.ID)
}

// handleOperator handles an operator's request.
func (s *settings) handleOperator(now time.Time, event machine.Event) {
	s.now = now
	switch e := event.(type) {
	case Edit:
		s.editor.add(now, e)
	case View:
		s.view(now, e)
	case History:
		s.readHistory(e)
	}
}

// view answers with the settings that are held.
func (s *settings) view(now time.Time, e View) {
	current, _, known := s.register.Get()
	answer := Viewed{Request: e.Request, Directory: current, Propagation: s.propagation(now)}
	if !known {
		answer.Err = &UnavailableError{Reason: "the settings are not loaded yet"}
	}
	s.gate.emit(answer)
}

// readHistory reads the history of a subject.
func (s *settings) readHistory(e History) {
	at := e.At
	if at == 0 {
		if current, _, known := s.register.Get(); known {
			c, _ := current.Change(e.Subject)
			at = c.Revision
		}
	}
	s.walk(e, at, nil)
}

// walk reads the changes of a subject one by one, each of which names the
// previous one.
func (s *settings) walk(e History, at revision.Number, changes []account.Change) {
	if at == 0 || len(changes) >= e.Limit {
		s.gate.emit(HistoryRead{Request: e.Request, Changes: changes})
		return
	}
	s.gate.store.Read([]table.Key{account.ChangeKey(s.gate.config.Region, at)}, func(result machine.StoreResult) {
		if result.Err != nil {
			s.gate.emit(HistoryRead{Request: e.Request, Err: &UnavailableError{Reason: "the history of changes cannot be read now"}})
			return
		}
		for _, c := range decodeRows(result.Rows) {
			if c.Subject == e.Subject {
				s.walk(e, c.Previous, append(changes, c))
				return
			}
		}
		s.gate.emit(HistoryRead{Request: e.Request, Changes: changes})
	})
}

// Settings returns the settings that the gate holds and their revision. It
// returns false if it holds none yet.
func (g *Gate) Settings() (*account.Directory, revision.Number, bool) {
	return g.settings.register.Get()
}
