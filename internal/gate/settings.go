package gate

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/scheduler"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/revision"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// SettingsInterval is the interval at which a gate reads the newest
	// revision from the table.
	SettingsInterval = time.Second

	// SettingsMaxAge is the age from which settings are stale: if they have not
	// been confirmed as the newest for so long, they are not applied to new
	// work.
	SettingsMaxAge = 18 * time.Second

	// MaxRecentChanges is the number of recent changes that a gate keeps to send them
	// to other gates.
	MaxRecentChanges = 64
)

// settings holds the settings of the region, as an account.Directory: accounts,
// templates and the floor's budgets. They are read from the table, and
// exchanged between gates, so that they spread while the table is unavailable.
// The revision held never goes back.
type settings struct {
	gate          *Gate
	now           time.Time
	register      revision.Register[*account.Directory]
	accounts      map[account.Name]account.Account
	recentChanges []account.Change
	head          head
	reading       bool
	readFailed    bool
	nextPoll      time.Time
	exchange      *exchange
	agents        map[floor.WorkerID]heldRevision
	nextSpread    time.Time
	editor        *editor
	lastReported  SettingsChanged
}

// head is what the gate knows of the head row, in which the table keeps the
// newest revision: that revision, and the version of the row. known reports
// that it has been read.
type head struct {
	known    bool
	revision revision.Number
	version  table.Version
}

func newSettings(g *Gate) *settings {
	s := &settings{gate: g, agents: make(map[floor.WorkerID]heldRevision)}
	s.exchange = newExchange(s)
	s.editor = newEditor(s)
	return s
}

func (s *settings) tick(now time.Time) {
	s.now = now
	if !s.reading && !now.Before(s.nextPoll) {
		s.poll(now)
	}
	s.exchange.tick(now)
	s.editor.tick(now)
	s.spreadRevision(now)
	s.reportChange(now)
}

// poll reads the head row, and then the changes if the revision has advanced.
func (s *settings) poll(now time.Time) {
	s.reading = true
	s.nextPoll = now.Add(SettingsInterval)
	s.gate.store.Read([]table.Key{account.HeadKey(s.gate.config.Region)}, func(result machine.StoreResult) {
		s.readFailed = result.Err != nil
		if result.Err != nil {
			s.reading = false
			return
		}
		newest, err := s.readHead(result.Rows)
		if err != nil {
			s.reading = false
			return
		}
		s.catchUp(now, newest)
	})
}

// readHead returns the newest revision from the head row, or zero if there is
// no row, and records the version of the row.
func (s *settings) readHead(rows []table.Row) (revision.Number, error) {
	if len(rows) == 0 {
		s.head.known = true
		return 0, nil
	}
	var newest account.Head
	if err := json.Unmarshal(rows[0].Value, &newest); err != nil {
		return 0, err
	}
	if newest.Revision >= s.head.revision {
		s.head = head{known: true, revision: newest.Revision, version: rows[0].Version}
	}
	return newest.Revision, nil
}

// catchUp fetches the changes that are missing up to the newest revision, which
// was requested at the time askedAt.
func (s *settings) catchUp(askedAt time.Time, newest revision.Number) {
	s.register.Confirm(askedAt, newest)
	switch {
	case !s.register.HasValue():
		s.load(askedAt, newest)
	case newest > s.revision():
		s.fetch(askedAt, newest)
	default:
		s.reading = false
	}
}

// fetch reads the changes after the revision held.
func (s *settings) fetch(askedAt time.Time, newest revision.Number) {
	region := s.gate.config.Region
	after := account.ChangeKey(region, s.revision())
	s.gate.store.Scan(account.ChangePrefix(region), after, scanLimit, func(result machine.StoreResult) {
		s.reading = false
		if result.Err != nil {
			return
		}
		s.advance(decodeRows(result.Rows))
		s.register.Confirm(askedAt, newest)
		if len(result.Rows) == scanLimit {
			s.nextPoll = askedAt
		}
	})
}

// load reads the newest changes of all subjects, and then the changes made in
// the meantime.
func (s *settings) load(askedAt time.Time, newest revision.Number) {
	kinds := []account.Kind{account.KindTemplate, account.KindAccount, account.KindFloor}
	s.loadKinds(kinds, "", nil, func(changes []account.Change) {
		s.loadNewer(askedAt, newest, account.NewDirectory(changes...))
	})
}

// loadKinds reads the newest changes of all subjects of some kinds, from the
// key after on, and hands them to done.
func (s *settings) loadKinds(kinds []account.Kind, after table.Key, loaded []account.Change, done func([]account.Change)) {
	if len(kinds) == 0 {
		done(loaded)
		return
	}
	prefix := account.SubjectPrefix(s.gate.config.Region, kinds[0])
	s.gate.store.Scan(prefix, after, scanLimit, func(result machine.StoreResult) {
		if result.Err != nil {
			s.reading = false
			return
		}
		loaded = append(loaded, decodeRows(result.Rows)...)
		if len(result.Rows) == scanLimit {
			s.loadKinds(kinds, result.Rows[scanLimit-1].Key, loaded, done)
			return
		}
		s.loadKinds(kinds[1:], "", loaded, done)
	})
}

// loadNewer reads the changes after a revision, applies them to the subjects
// that were loaded, and replaces the settings held. If a loaded subject is
// newer than the last of these changes, the next poll loads again.
func (s *settings) loadNewer(askedAt time.Time, newest revision.Number, loaded *account.Directory) {
	region := s.gate.config.Region
	s.gate.store.Scan(account.ChangePrefix(region), account.ChangeKey(region, newest), scanLimit, func(result machine.StoreResult) {
		s.reading = false
		if result.Err != nil {
			return
		}
		changes := decodeRows(result.Rows)
		number := newest + revision.Number(len(changes))
		current := loaded.With(changes...)
		if current.Newest() > number {
			return
		}
		s.replace(number, current)
		s.register.Confirm(askedAt, newest)
	})
}

// advance applies the changes that follow the revision held without a gap.
func (s *settings) advance(changes []account.Change) {
	current, number, known := s.register.Get()
	if !known {
		return
	}
	var next []account.Change
	for _, c := range changes {
		if c.Revision == number+1 {
			number++
			next = append(next, c)
		}
	}
	if len(next) == 0 {
		return
	}
	s.recentChanges = append(s.recentChanges, next...)
	s.recentChanges = s.recentChanges[max(0, len(s.recentChanges)-MaxRecentChanges):]
	s.replace(number, current.With(next...))
}

// replace sets the settings at a newer revision, and applies them to the policy
// if this gate leads.
func (s *settings) replace(number revision.Number, next *account.Directory) {
	if !s.register.Advance(number, next) {
		return
	}
	if len(s.recentChanges) > 0 && s.recentChanges[len(s.recentChanges)-1].Revision != number {
		s.recentChanges = nil
	}
	s.accounts = make(map[account.Name]account.Account)
	for _, a := range next.Accounts() {
		s.accounts[a.Name] = a
	}
	if s.gate.leader != nil {
		s.apply(s.gate.leader.policy)
	}
	s.nextSpread = time.Time{}
}

// apply sets the policy's accounts and budgets.
func (s *settings) apply(policy scheduler.Policy) {
	current, _, known := s.register.Get()
	if !known {
		return
	}
	policy.SetAccounts(current.Accounts())
	policy.SetBudgets(budgets(current))
}

func budgets(d *account.Directory) []scheduler.Budget {
	var list []scheduler.Budget
	for _, b := range d.Budgets() {
		list = append(list, scheduler.Budget(b))
	}
	return list
}

// revision returns the revision held.
func (s *settings) revision() revision.Number {
	return s.register.Number()
}

// observe records that another process has seen a revision. If it is newer than
// the one held, the table and the other gates are asked at once.
func (s *settings) observe(now time.Time, number revision.Number) {
	if number <= s.revision() {
		return
	}
	if s.register.Observe(number) {
		s.nextPoll = now
		s.exchange.nextAsk = now
	}
}

// AccountKey returns the key of an account's row in the table.
func AccountKey(region floor.RegionID, name account.Name) table.Key {
	return account.SubjectKey(region, account.Subject{Kind: account.KindAccount, Name: string(name)})
}

// decodeRows returns the changes in rows, by revision. It skips malformed rows.
func decodeRows(rows []table.Row) []account.Change {
	changes := make([]account.Change, 0, len(rows))
	for _, row := range rows {
		if c, err := account.Decode(row.Value); err == nil {
			changes = append(changes, c)
		}
	}
	slices.SortStableFunc(changes, func(x, y account.Change) int { return cmp.Compare(x.Revision, y.Revision) })
	return changes
}
