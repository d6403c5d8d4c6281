package gate_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/lab"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/revision"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// settingsRegion is a region in which operators change settings. It checks
// after every step that no process goes back to an older revision, and that no
// gate accepts new work under settings that are older than gate.SettingsMaxAge.
//
// edits holds the edits posted and answers the answers to them, by request.
// heldRevisions is the newest revision that each incarnation of a process has
// held. firstSeen is when any process first held each revision, since the start
// of the run.
type settingsRegion struct {
	*lab.Region
	t             *testing.T
	lastRequest   gate.RequestID
	edits         map[gate.RequestID]gate.Edit
	answers       map[gate.RequestID]gate.Edited
	heldRevisions map[string]revision.Number
	firstSeen     map[revision.Number]time.Duration
}

// newSettingsRegion returns a region whose gates know each other, with the
// checks of every step.
func newSettingsRegion(t *testing.T, seed uint64, gates, agents int, options ...gate.Option) *settingsRegion {
	var nodes []machine.Node
	for i := range gates {
		nodes = append(nodes, machine.Node(fmt.Sprintf("gate-%d", i+1)))
	}
	s := &settingsRegion{
		Region:        lab.NewRegion(seed, gates, agents, append(options, gate.WithGates(nodes...))...),
		t:             t,
		edits:         make(map[gate.RequestID]gate.Edit),
		answers:       make(map[gate.RequestID]gate.Edited),
		heldRevisions: make(map[string]revision.Number),
		firstSeen:     make(map[revision.Number]time.Duration),
	}
	s.AddCheck(s.checkStep)
	return s
}

// checkStep checks the revisions after one step and records the answers to
// edits.
func (s *settingsRegion) checkStep(step lab.Step) error {
	for _, effect := range step.Effects {
		if edited, ok := effect.(gate.Edited); ok {
			s.answers[edited.Request] = edited
		}
		if send, ok := effect.(machine.Send); ok {
			if submit, ok := send.Body.(wire.Submit); ok && s.isStale(submit.Revision) {
				return fmt.Errorf("work was submitted to the leader under the stale revision %d", submit.Revision)
			}
		}
		if commit, ok := effect.(machine.Commit); ok && admitsJob(step.Event, commit) && s.isStale(revisionOf(step.Process)) {
			return fmt.Errorf("work was accepted under the stale revision %d", revisionOf(step.Process))
		}
	}
	number := revisionOf(step.Process)
	incarnation := fmt.Sprint(step.Process.Node(), " ", step.Process.Incarnation())
	if number < s.heldRevisions[incarnation] {
		return fmt.Errorf("%s went from revision %d back to %d", incarnation, s.heldRevisions[incarnation], number)
	}
	s.heldRevisions[incarnation] = number
	if _, ok := s.firstSeen[number]; !ok {
		s.firstSeen[number] = s.Elapsed()
	}
	return nil
}

// isStale reports whether a newer revision than the one used has been held by
// some process for longer than gate.SettingsMaxAge, without a fault of the store
// during the last gate.SettingsMaxAge.
func (s *settingsRegion) isStale(used revision.Number) bool {
	for number, seenAt := range s.firstSeen {
		if number > used && s.Elapsed()-seenAt > gate.SettingsMaxAge && !s.Store.FaultyWithin(gate.SettingsMaxAge) {
			return true
		}
	}
	return false
}

// admitsJob reports whether the event is a submission at the leader and the
// commit creates the row of a live job.
func admitsJob(event machine.Event, commit machine.Commit) bool {
	message, _ := event.(machine.Message)
	if _, ok := message.Body.(wire.Submit); !ok {
		return false
	}
	for _, check := range commit.Txn.Checks {
		if check.Version != table.Absent || !strings.HasPrefix(string(check.Key), "live/") {
			continue
		}
		for _, write := range commit.Txn.Writes {
			if write.Key == check.Key && !write.Delete {
				return true
			}
		}
	}
	return false
}

// revisionOf returns the revision that a gate or an agent holds, and zero for a
// process that is down.
func revisionOf(process *lab.Process) revision.Number {
	switch m := process.Machine().(type) {
	case *gate.Gate:
		_, number, _ := m.Settings()
		return number
	case interface{ Revision() revision.Number }:
		return m.Revision()
	case nil:
		return 0
	default:
		panic(fmt.Sprintf("%T holds no revision", m))
	}
}

// postEdit posts an edit of an account at a gate, with the given queue limit,
// and returns the ID of the request.
func (s *settingsRegion) postEdit(process *lab.Process, edit gate.Edit, name string, queueLimit int) gate.RequestID {
	s.lastRequest++
	edit.Request = s.lastRequest
	edit.ID = account.ChangeID(fmt.Sprint("change-", s.lastRequest))
	edit.Author = "operator at " + string(process.Node())
	edit.Subject = account.Subject{Kind: account.KindAccount, Name: name}
	if edit.Value.Deleted() {
		edit.Value.Account = &account.Account{Name: account.Name(name), Region: lab.RegionID}
	}
	edit.Value.Account.Name = account.Name(name)
	edit.Value.Account.Overrides.QueueLimit = &queueLimit
	s.edits[edit.Request] = edit
	process.Post(edit)
	return edit.Request
}

// requireChange runs until an edit is answered, fails if the answer is an
// error, and returns the change.
func (s *settingsRegion) requireChange(id gate.RequestID) account.Change {
	s.t.Helper()
	answer := s.waitForAnswer(id)
	if answer.Err != nil {
		s.t.Fatalf("request %d: %v", id, answer.Err)
	}
	return answer.Change
}

// waitForAnswer runs until an edit is answered, for at most a minute.
func (s *settingsRegion) waitForAnswer(id gate.RequestID) gate.Edited {
	s.t.Helper()
	s.runUntil(time.Minute, func() bool {
		_, ok := s.answers[id]
		return ok
	})
	return s.answers[id]
}

// run lets virtual time pass, and fails if a check does.
func (s *settingsRegion) run(duration time.Duration) {
	s.t.Helper()
	if err := s.Run(duration); err != nil {
		s.t.Fatal(err)
	}
}

// runUntil runs the region until the condition holds, and returns the time that
// passed. It fails if the condition does not hold within the limit.
func (s *settingsRegion) runUntil(limit time.Duration, condition func() bool) time.Duration {
	s.t.Helper()
	elapsed, err := s.RunUntil(limit, condition)
	if err != nil {
		s.t.Fatal(err)
	}
	return elapsed
}

// heldEverywhere reports whether all gates and agents that are up hold the
// revision or a newer one.
func (s *settingsRegion) heldEverywhere(number revision.Number) bool {
	for _, p := range s.Gates {
		if p.Up() && revisionOf(p) < number {
			return false
		}
	}
	for _, r := range s.Runners {
		if r.Process.Up() && revisionOf(r.Process) < number {
			return false
		}
	}
	return true
}

// storedChanges returns the changes in the table by ID, and fails if a change
// was made twice or a revision is missing.
func (s *settingsRegion) storedChanges() map[account.ChangeID]account.Change {
	s.t.Helper()
	found := make(map[account.ChangeID]account.Change)
	for i, row := range s.Store.Rows(account.ChangePrefix(lab.RegionID)) {
		change, err := account.Decode(row.Value)
		if err != nil {
			s.t.Fatal(err)
		}
		if _, twice := found[change.ID]; twice || change.Revision != revision.Number(i+1) {
			s.t.Errorf("change %s has revision %d in row %d, or was made twice", change.ID, change.Revision, i+1)
		}
		found[change.ID] = change
	}
	return found
}

// checkAnswers fails unless the table has every change that was reported to its
// operator as made, and none that was reported as not made. After an
// UncertainChangeError the table may have the change or not.
func (s *settingsRegion) checkAnswers() {
	s.t.Helper()
	stored := s.storedChanges()
	for id, answer := range s.answers {
		var uncertain *gate.UncertainChangeError
		_, ok := stored[s.edits[id].ID]
		if reported := answer.Err == nil; reported != ok && !errors.As(answer.Err, &uncertain) {
			s.t.Errorf("change %s: answered with error %v, in the table %v", s.edits[id].ID, answer.Err, ok)
		}
	}
}
