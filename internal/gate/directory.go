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

// directory holds the settings of the region: accounts, templates and the
// floor's budgets. They are read from the table, and exchanged between gates,
// so that they spread while the table is unavailable. The revision held never
// goes back.
type directory struct {
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

// head is the version of the head row, in which the table keeps the newest
// revision, as it was at a revision.
type head struct {
	known    bool
	revision revision.Number
	version  table.Version
}

func newDirectory(g *Gate) *directory {
	d := &directory{gate: g, agents: make(map[floor.WorkerID]heldRevision)}
	d.exchange = newExchange(d)
	d.editor = newEditor(d)
	return d
}

func (d *directory) tick(now time.Time) {
	d.now = now
	if !d.reading && !now.Before(d.nextPoll) {
		d.poll(now)
	}
	d.exchange.tick(now)
	d.editor.tick(now)
	d.spreadRevision(now)
	d.reportChange(now)
}

// poll reads the head row, and then the changes if the revision has advanced.
func (d *directory) poll(now time.Time) {
	d.reading = true
	d.nextPoll = now.Add(SettingsInterval)
	d.gate.store.Read([]table.Key{account.HeadKey(d.gate.config.Region)}, func(result machine.StoreResult) {
		d.readFailed = result.Err != nil
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

// readHead returns the newest revision from the head row, or zero if there is
// no row.
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

// catchUp fetches the changes that are missing up to the newest revision, which
// was requested at the time askedAt.
func (d *directory) catchUp(askedAt time.Time, newest revision.Number) {
	d.register.Confirm(askedAt, newest)
	switch {
	case !d.register.HasValue():
		d.load(askedAt, newest)
	case newest > d.revision():
		d.fetch(askedAt, newest)
	default:
		d.reading = false
	}
}

// fetch reads the changes after the revision held.
func (d *directory) fetch(askedAt time.Time, newest revision.Number) {
	region := d.gate.config.Region
	after := account.ChangeKey(region, d.revision())
	d.gate.store.Scan(account.ChangePrefix(region), after, scanLimit, func(result machine.StoreResult) {
		d.reading = false
		if result.Err != nil {
			return
		}
		d.advance(decodeRows(result.Rows))
		d.register.Confirm(askedAt, newest)
		if len(result.Rows) == scanLimit {
			d.nextPoll = askedAt
		}
	})
}

// load reads the newest changes of all subjects, and then the changes made in
// the meantime.
func (d *directory) load(askedAt time.Time, newest revision.Number) {
	kinds := []account.Kind{account.KindTemplate, account.KindAccount, account.KindFloor}
	d.loadKinds(kinds, "", nil, func(changes []account.Change) {
		d.loadNewer(askedAt, newest, account.NewDirectory(changes...))
	})
}

// loadKinds reads the newest changes of all subjects of some kinds, from the
// key after on, and hands them to done.
func (d *directory) loadKinds(kinds []account.Kind, after table.Key, loaded []account.Change, done func([]account.Change)) {
	if len(kinds) == 0 {
		done(loaded)
		return
	}
	prefix := account.SubjectPrefix(d.gate.config.Region, kinds[0])
	d.gate.store.Scan(prefix, after, scanLimit, func(result machine.StoreResult) {
		if result.Err != nil {
			d.reading = false
			return
		}
		loaded = append(loaded, decodeRows(result.Rows)...)
		if len(result.Rows) == scanLimit {
			d.loadKinds(kinds, result.Rows[scanLimit-1].Key, loaded, done)
			return
		}
		d.loadKinds(kinds[1:], "", loaded, done)
	})
}

// loadNewer reads the changes after a revision, applies them to the subjects
// that were loaded, and replaces the directory. If a loaded subject is newer
// than the last of these changes, the next poll loads again.
func (d *directory) loadNewer(askedAt time.Time, newest revision.Number, loaded *account.Directory) {
	region := d.gate.config.Region
	d.gate.store.Scan(account.ChangePrefix(region), account.ChangeKey(region, newest), scanLimit, func(result machine.StoreResult) {
		d.reading = false
		if result.Err != nil {
			return
		}
		changes := decodeRows(result.Rows)
		number := newest + revision.Number(len(changes))
		current := loaded.With(changes...)
		if current.Newest() > number {
			return
		}
		d.replace(number, current)
		d.register.Confirm(askedAt, newest)
	})
}

// advance applies the changes that follow the revision held without a gap.
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
	d.recentChanges = append(d.recentChanges, next...)
	d.recentChanges = d.recentChanges[max(0, len(d.recentChanges)-MaxRecentChanges):]
	d.replace(number, current.With(next...))
}

// replace sets the settings at a newer revision, and applies them to the policy
// if this gate leads.
func (d *directory) replace(number revision.Number, next *account.Directory) {
	if !d.register.Advance(number, next) {
		return
	}
	if len(d.recentChanges) > 0 && d.recentChanges[len(d.recentChanges)-1].Revision != number {
		d.recentChanges = nil
	}
	d.accounts = make(map[account.Name]account.Account)
	for _, a := range next.Accounts() {
		d.accounts[a.Name] = a
	}
	if d.gate.leader != nil {
		d.apply(d.gate.leader.policy)
	}
	d.nextSpread = time.Time{}
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

// observe records that another process has seen a revision. If it is newer than
// the one held, the table and the other gates are asked at once.
func (d *directory) observe(now time.Time, number revision.Number) {
	if number <= d.revision() {
		return
	}
	if d.register.Observe(number) {
		d.nextPoll = now
		d.exchange.nextAsk = now
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
