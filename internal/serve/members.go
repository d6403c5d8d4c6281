package serve

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/boottime"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// gatePrefix begins the keys of the rows by which gates find each other.
	gatePrefix table.Key = "gate/"

	// memberPause is the time between two looks for other gates.
	memberPause = 3 * time.Second

	// announceInterval is the time after which a gate writes its row again.
	announceInterval = time.Minute

	// staleAfter is how long a gate's row stays unchanged before the others take
	// it away: several announcements, so that a table that is away for a while
	// costs no gate its row.
	staleAfter = 5 * announceInterval

	// weakShare is the part of another gate's processor below which a gate leaves
	// the lead to it: a leader on a VM that is a little smaller serves as well.
	weakShare = 0.75
)

// Roster tells which rows of gates have not changed for long: those of gates that
// have left for good. The zero value is ready to use.
type Roster struct {
	seen map[table.Key]sighting
}

// announcement is the value of a gate's row.
type announcement struct {
	Processor work.Millicores `cbor:"1,keyasint,omitempty"`
}

// sighting is a version of a row and when it was first seen.
type sighting struct {
	version table.Version
	since   time.Time
}

// Observe takes note of all rows of gates that the table has, and returns those
// that have not changed for the time staleAfter.
func (r *Roster) Observe(now time.Time, rows []table.Row) []table.Row {
	seen := make(map[table.Key]sighting, len(rows))
	var stale []table.Row
	for _, row := range rows {
		s, ok := r.seen[row.Key]
		if !ok || s.version != row.Version {
			s = sighting{version: row.Version, since: now}
		}
		seen[row.Key] = s
		if now.Sub(s.since) >= staleAfter {
			stale = append(stale, row)
		}
	}
	r.seen = seen
	return stale
}

// meet announces the gate, finds the others, and takes the rows of those away
// that have left.
func (g *Gate) meet() {
	var (
		roster    Roster
		announced time.Time
	)
	for g.ctx.Err() == nil {
		now := boottime.Now()
		if now.Sub(announced) >= announceInterval && g.announce() {
			announced = now
		}
		rows, err := g.table.Scan(g.ctx, gatePrefix, "", scanPage)
		if err == nil {
			g.mu.Lock()
			g.peers = nodes(rows)
			g.mu.Unlock()
			g.strongest.Store(int64(strongest(rows)))
			g.sweep(roster.Observe(now, rows))
		}
		wait := memberPause
		if announced.IsZero() || err != nil {
			wait = retryPause
		}
		g.pause(wait)
	}
}

// announce writes the row by which the others find this gate.
func (g *Gate) announce() bool {
	key := gatePrefix + table.Key(g.config.Node)
	value, err := cbor.Marshal(announcement{Processor: g.config.Processor})
	if err == nil {
		_, err = g.table.Commit(g.ctx, table.Txn{Writes: []table.Write{{Key: key, Value: value}}})
	}
	if err != nil {
		klog.V(1).InfoS("gate not announced", "reason", err)
	}
	return err == nil
}

// sweep takes rows of gates away, unless they have changed since.
func (g *Gate) sweep(rows []table.Row) {
	for _, row := range rows {
		_, err := g.table.Commit(g.ctx, table.Txn{
			Checks: []table.Check{{Key: row.Key, Version: row.Version}},
			Writes: []table.Write{{Key: row.Key, Delete: true}},
		})
		klog.InfoS("row of a gate that left", "row", row.Key, "version", row.Version, "unchanged", staleAfter, "outcome", err)
	}
}

// strongest returns the most processor that a gate has by the rows. Rows of an
// earlier release say nothing of it.
func strongest(rows []table.Row) work.Millicores {
	most := work.Millicores(0)
	for _, row := range rows {
		var a announcement
		if err := cbor.Unmarshal(row.Value, &a); err == nil {
			most = max(most, a.Processor)
		}
	}
	return most
}

// handicap tells how much longer than others this gate leaves the lead, if it is
// free: long enough for one look at the lease more.
func (g *Gate) handicap() time.Duration {
	if float64(g.config.Processor) >= weakShare*float64(g.strongest.Load()) {
		return 0
	}
	return renewal
}

func nodes(rows []table.Row) []machine.Node {
	found := make([]machine.Node, 0, len(rows))
	for _, row := range rows {
		found = append(found, machine.Node(row.Key[len(gatePrefix):]))
	}
	return found
}
