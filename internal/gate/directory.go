package gate

import (
	"cmp"
	"crypto/subtle"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	directoryInterval = 2 * time.Second
)

// directory holds the accounts of the region as the table has them.
type directory struct {
	gate     *Gate
	accounts map[account.Name]account.Account
	known    bool
	reading  bool
	next     time.Time
}

func newDirectory(g *Gate) *directory {
	return &directory{gate: g, accounts: make(map[account.Name]account.Account)}
}

func (d *directory) tick(now time.Time) {
	if d.reading || now.Before(d.next) {
		return
	}
	d.next = now.Add(directoryInterval)
	d.reading = true
	d.scan(now, "", make(map[account.Name]account.Account))
}

func (d *directory) scan(now time.Time, after table.Key, found map[account.Name]account.Account) {
	prefix := AccountKey(d.gate.config.Region, "")
	d.gate.store.Scan(prefix, after, scanLimit, func(result machine.Stored) {
		if result.Err != nil {
			d.reading = false
			return
		}
		for _, row := range result.Rows {
			var a account.Account
			if json.Unmarshal(row.Value, &a) == nil {
				found[a.Name] = a
			}
		}
		if len(result.Rows) == scanLimit {
			d.scan(now, result.Rows[scanLimit-1].Key, found)
			return
		}
		d.reading = false
		d.replace(found)
	})
}

func (d *directory) replace(found map[account.Name]account.Account) {
	d.accounts = found
	d.known = true
	if d.gate.leader != nil {
		d.gate.leader.policy.SetAccounts(d.list())
	}
}

func (d *directory) list() []account.Account {
	return slices.SortedFunc(maps.Values(d.accounts), func(x, y account.Account) int {
		return cmp.Compare(x.Name, y.Name)
	})
}

// check returns an error unless the token is one of the account's.
func (d *directory) check(name account.Name, token account.TokenHash) error {
	if !d.known {
		return &UnavailableError{Reason: "the accounts are not known yet", Ran: job.NotRun}
	}
	a, ok := d.accounts[name]
	if !ok {
		return &DeniedError{Account: name}
	}
	for _, t := range a.Tokens {
		if subtle.ConstantTimeCompare([]byte(t), []byte(token)) == 1 {
			return nil
		}
	}
	return &DeniedError{Account: name}
}

// AccountKey returns the row of an account in the table.
func AccountKey(region floor.RegionID, name account.Name) table.Key {
	return table.Key("account/" + string(region) + "/" + string(name))
}
