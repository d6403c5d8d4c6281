package serve

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/boottime"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// gatePrefix begins the keys of the gates' rows, by which gates and agents
	// find gates.
	gatePrefix table.Key = "gate/"

	// discoveryInterval is the time between two scans of a gate for other gates.
	discoveryInterval = 3 * time.Second

	// announceInterval is the time after which a gate writes its row again.
	announceInterval = time.Minute

	// staleAfter is how long a gate's row must stay unchanged before other gates
	// delete it: several announcements, so that no gate loses its row to a short
	// outage of the table.
	staleAfter = 5 * announceInterval

	// maxIgnored is the largest number of rows that are not those of gates of which a
	// process keeps the version, so as to log them once.
	maxIgnored = 100

	// minProcessorShare is the share of the largest gate's CPU capacity below
	// which a gate delays taking over the lease. A gate on a slightly smaller VM
	// leads just as well.
	minProcessorShare = 0.75
)

// StaleRows finds rows of gates that have not been rewritten for the time
// staleAfter, which means that their gates have left for good. The zero value
// is ready to use.
type StaleRows struct {
	seen map[table.Key]observation
}

// announcement is the value of a gate's row: its CPU capacity in millicores.
type announcement struct {
	Processor work.Millicores `cbor:"1,keyasint,omitempty"`
}

// observation is a version of a row and the time at which it was first seen.
type observation struct {
	version   table.Version
	firstSeen time.Time
}

// Observe records the rows of all gates, read from the table at the given time,
// and returns those that have not changed for the time staleAfter.
func (r *StaleRows) Observe(now time.Time, rows []table.Row) []table.Row {
	seen := make(map[table.Key]observation, len(rows))
	var stale []table.Row
	for _, row := range rows {
		o, ok := r.seen[row.Key]
		if !ok || o.version != row.Version {
			o = observation{version: row.Version, firstSeen: now}
		}
		seen[row.Key] = o
		if now.Sub(o.firstSeen) >= staleAfter {
			stale = append(stale, row)
		}
	}
	r.seen = seen
	return stale
}

// scanAll reads all rows with a prefix.
func scanAll(ctx context.Context, t table.Table, prefix table.Key) ([]table.Row, error) {
	var rows []table.Row
	var after table.Key
	for {
		page, err := t.Scan(ctx, prefix, after, scanPageSize)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(page) < scanPageSize {
			return rows, nil
		}
		after = page[len(page)-1].Key
	}
}

// discoverGates announces this gate, replaces the known gates by those that have
// rows, and deletes stale rows, until the gate ends.
func (g *Gate) discoverGates() {
	var (
		staleRows StaleRows
		announced time.Time
		ignored   = make(map[table.Key]table.Version)
	)
	for g.ctx.Err() == nil {
		now := boottime.Now()
		if now.Sub(announced) >= announceInterval && g.announce() {
			announced = now
		}
		rows, err := scanAll(g.ctx, g.table, gatePrefix)
		if err == nil {
			g.mu.Lock()
			g.gates = gateNodes(rows, ignored)
			g.mu.Unlock()
			g.largestProcessor.Store(int64(maxProcessor(rows)))
			g.removeStaleRows(staleRows.Observe(now, rows))
		}
		wait := discoveryInterval
		if announced.IsZero() || err != nil {
			wait = retryDelay
		}
		g.pause(wait)
	}
}

// announce writes the row by which agents and other gates find this gate. It
// returns false if that failed.
func (g *Gate) announce() bool {
	key := gatePrefix + table.Key(g.config.Node)
	value, err := cbor.Marshal(announcement{Processor: g.config.Processor})
	if err == nil {
		_, err = g.table.Commit(g.ctx, table.Txn{Writes: []table.Write{{Key: key, Value: value}}})
	}
	if err != nil {
		klog.V(1).InfoS("row of this gate not written", "reason", err)
	}
	return err == nil
}

// removeStaleRows deletes rows of gates, unless they have changed since they
// were read.
func (g *Gate) removeStaleRows(rows []table.Row) {
	for _, row := range rows {
		_, err := g.table.Commit(g.ctx, table.Txn{
			Checks: []table.Check{{Key: row.Key, Version: row.Version}},
			Writes: []table.Write{{Key: row.Key, Delete: true}},
		})
		klog.InfoS("deleting stale row of a gate", "row", row.Key, "version", row.Version, "unchanged", staleAfter, "outcome", err)
	}
}

// maxProcessor returns the largest CPU capacity in the gates' rows. Rows of an
// earlier release do not state it and count as 0.
func maxProcessor(rows []table.Row) work.Millicores {
	largest := work.Millicores(0)
	for _, row := range rows {
		var a announcement
		if err := cbor.Unmarshal(row.Value, &a); err == nil {
			largest = max(largest, a.Processor)
		}
	}
	return largest
}

// takeoverDelay returns how much longer than others this gate waits before it
// takes a free lease: one renewal interval, in which another gate reads the
// lease once more, if this gate has much less CPU capacity than the largest.
func (g *Gate) takeoverDelay() time.Duration {
	if float64(g.config.Processor) >= minProcessorShare*float64(g.largestProcessor.Load()) {
		return 0
	}
	return leaseRenewalInterval
}

// gateNodes returns the gates that the rows belong to. It leaves out rows whose keys are
// not addresses, and logs each version of such a row that is not in ignored yet.
func gateNodes(rows []table.Row, ignored map[table.Key]table.Version) []machine.Node {
	found := make([]machine.Node, 0, len(rows))
	for _, row := range rows {
		node := machine.Node(row.Key[len(gatePrefix):])
		if node.Valid() {
			found = append(found, node)
			continue
		}
		if ignored[row.Key] != row.Version && len(ignored) < maxIgnored {
			ignored[row.Key] = row.Version
			klog.InfoS("row of a gate ignored", "row", row.Key, "version", row.Version, "reason", "not the address of a process")
		}
	}
	return found
}
