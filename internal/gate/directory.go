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
	// SettingsInterval is the time between two looks at the newest revision in
	// the table.
	SettingsInterval = time.Second

	// SettingsBound is the time after which settings that are not known to be the
	// newest are applied to no new work.
	SettingsBound = 18 * time.Second

	// MaxRecent is the number of changes that a gate keeps for other gates.
	MaxRecent = 64
)

// directory holds the settings of the region at a revision that only moves
// forward.
type directory struct {
	gate     *Gate
	now      time.Time
	register revision.Register[*account.Directory]
	accounts map[account.Name]account.Account
	recent   []account.Change
	head     head
	reading  bool
	failing  bool
	next     time.Time
	gates    *exchange
	agents   map[floor.WorkerID]heldRevision
	spread   time.Time
	editor   *editor
	reported SettingsChanged
}

// head is the version of the head row at a revision.
type head struct {
	known    bool
	revision revision.Number
	version  table.Version
}

func newDirectory(g *Gate) *directory {
	d := &directory{gate: g, agents: make(map[floor.WorkerID]heldRevision)}
	d.gates = newExchange(d)
	d.editor = newEditor(d)
	return d
}

func (d *directory) tick(now time.Time) {
	d.now = now
	if !d.reading && !now.Before(d.next) {
		d.poll(now)
	}
	d.gates.tick(now)
	d.editor.tick(now)
	d.spreadRevision(now)
	d.report(now)
}

// poll reads the head, and what has changed if it has moved.
func (d *directory) poll(now time.Time) {
	d.reading = true
	d.next = now.Add(SettingsInterval)
	d.gate.store.Read([]table.Key{account.HeadKey(d.gate.config.Region)}, func(result machine.Stored) {
		d.failing = result.Err != nil
		if result.Err != nil {
			d.reading = false
			return
		}
		newest, err := d.readHead(result.Rows)
		if err != nil {
			d.reading = false
			return
		}
		d.catchUp(now, newest)
	})
}

func (d *directory) readHead(rows []table.Row) (revision.Number, error) {
	if len(rows) == 0 {
		d.head.known = true
		return 0, nil
	}
	var newest account.Head
	if err := json.Unmarshal(rows[0].Value, &newest); err != nil {
		return 0, err
	}
	if newest.Revision >= d.head.revision {
		d.head = head{known: true, revision: newest.Revision, version: rows[0].Version}
	}
	return newest.Revision, nil
}

// catchUp fetches what is missing to a revision that was the newest at or after
// the time asked.
func (d *directory) catchUp(asked time.Time, newest revision.Number) {
	d.register.Confirm(asked, newest)
	switch {
	case !d.register.Known():
		d.load(asked, newest)
	case newest > d.revision():
		d.fetch(asked, newest)
	default:
		d.reading = false
	}
}

// fetch reads the changes after the revision held.
func (d *directory) fetch(asked time.Time, newest revision.Number) {
	region := d.gate.config.Region
	after := account.ChangeKey(region, d.revision())
	d.gate.store.Scan(account.ChangePrefix(region), after, scanLimit, func(result machine.Stored) {
		d.reading = false
		if result.Err != nil {
			return
		}
		d.advance(decodeRows(result.Rows))
		d.register.Confirm(asked, newest)
		if len(result.Rows) == scanLimit {
			d.next = asked
		}
	})
}

// load reads the newest changes of all subjects, and then those that were made
// meanwhile.
func (d *directory) load(asked time.Time, newest revision.Number) {
	kinds := []account.Kind{account.KindTemplate, account.KindAccount, account.KindFloor}
	d.loadKinds(kinds, "", nil, func(changes []account.Change) {
		d.loadRest(asked, newest, account.NewDirectory(changes...))
	})
}

func (d *directory) loadKinds(kinds []account.Kind, after table.Key, found []account.Change, done func([]account.Change)) {
	if len(kinds) == 0 {
		done(found)
		return
	}
	prefix := account.SubjectPrefix(d.gate.config.Region, kinds[0])
	d.gate.store.Scan(prefix, after, scanLimit, func(result machine.Stored) {
		if result.Err != nil {
			d.reading = false
			return
		}
		found = append(found, decodeRows(result.Rows)...)
		if len(result.Rows) == scanLimit {
			d.loadKinds(kinds, result.Rows[scanLimit-1].Key, found, done)
			return
		}
		d.loadKinds(kinds[1:], "", found, done)
	})
}

func (d *directory) loadRest(asked time.Time, newest revision.Number, loaded *account.Directory) {
	region := d.gate.config.Region
	d.gate.store.Scan(account.ChangePrefix(region), account.ChangeKey(region, newest), scanLimit, func(result machine.Stored) {
		d.reading = false
		if result.Err != nil {
			return
		}
		changes := decodeRows(result.Rows)
		number := newest + revision.Number(len(changes))
		whole := loaded.With(changes...)
		if whole.Newest() > number {
			return
		}
		d.take(number, whole)
		d.register.Confirm(asked, newest)
	})
}

// advance applies the changes that follow the revision held.
func (d *directory) advance(changes []account.Change) {
	current, number, known := d.register.Get()
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
	d.recent = append(d.recent, next...)
	d.recent = d.recent[max(0, len(d.recent)-MaxRecent):]
	d.take(number, current.With(next...))
}

// take moves the directory forward and applies it where this gate leads.
func (d *directory) take(number revision.Number, next *account.Directory) {
	if !d.register.Advance(number, next) {
		return
	}
	if len(d.recent) > 0 && d.recent[len(d.recent)-1].Revision != number {
		d.recent = nil
	}
	d.accounts = make(map[account.Name]account.Account)
	for _, a := range next.Accounts() {
		d.accounts[a.Name] = a
	}
	if d.gate.leader != nil {
		d.apply(d.gate.leader.policy)
	}
	d.spread = time.Time{}
}

// apply sets the policy's accounts and budgets.
func (d *directory) apply(policy scheduler.Policy) {
	current, _, known := d.register.Get()
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
func (d *directory) revision() revision.Number {
	return d.register.Number()
}

// observe takes note that another process has seen a revision, and looks for it
// if it is not held.
func (d *directory) observe(now time.Time, number revision.Number) {
	if number <= d.revision() {
		return
	}
	if d.register.Observe(number) {
		d.next = now
		d.gates.next = now
	}
}

// AccountKey returns the row of an account in the table.
func AccountKey(region floor.RegionID, name account.Name) table.Key {
	return account.SubjectKey(region, account.Subject{Kind: account.KindAccount, Name: string(name)})
}

// decodeRows returns the changes that rows hold, by revision.
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
