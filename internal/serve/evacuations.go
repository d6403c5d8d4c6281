package serve

import (
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/lovageroad/lovageroad/internal/evacuation"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// maxEvacuationLines bounds the log lines about the requests of one answer of the
	// table, and those about rows that name no data centre.
	maxEvacuationLines = 20

	// confirmInterval is the longest time between two confirmations while the table
	// answers: an answer of the feed confirms what was known when it was asked for, and the
	// next one may take feedWait, too.
	confirmInterval = 2 * feedWait
)

type (
	// EvacuationConfig says where operators request the evacuation of data centres.
	EvacuationConfig struct {
		// Bound is how long after a request tasks may still start in the data centre, 0 if
		// there are no such requests. The other fields are not used then.
		Bound time.Duration

		// Prefix is that of the rows of the requests, FeedPrefix one that these rows and
		// that of the configuration share.
		Prefix, FeedPrefix table.Key

		// Zone returns the data centre that a row is about, and false if it names none.
		Zone func(key table.Key) (work.ZoneID, bool)
	}

	// evacuations follows the requests.
	evacuations struct {
		config  EvacuationConfig
		metrics *Metrics
		holder  *evacuation.Holder

		// invalid is the number of log lines about rows that name no data centre.
		invalid int
	}
)

func newEvacuations(config EvacuationConfig, metrics *Metrics) *evacuations {
	return &evacuations{config: config, metrics: metrics, holder: evacuation.NewHolder()}
}

// enabled reports whether there are requests to follow.
func (e *evacuations) enabled() bool { return e.config.Bound > 0 }

// apply applies changes of rows of the feed. Other rows are skipped.
func (e *evacuations) apply(now time.Time, changes []table.Change) {
	if e.enabled() {
		e.log(e.holder.Apply(now, e.decode(changes)))
	}
}

// reload replaces the requests by those of all rows that exist.
func (e *evacuations) reload(now time.Time, rows []table.Row) {
	changes := make([]table.Change, len(rows))
	for i, row := range rows {
		changes[i] = table.Change{Row: row}
	}
	e.log(e.holder.Reload(now, e.decode(changes)))
}

// decode returns the changes of requests among changes of rows.
func (e *evacuations) decode(changes []table.Change) []evacuation.Change {
	var decoded []evacuation.Change
	for _, change := range changes {
		if !strings.HasPrefix(string(change.Key), string(e.config.Prefix)) {
			continue
		}
		zone, ok := e.config.Zone(change.Key)
		if !ok {
			e.reject(change)
			continue
		}
		decoded = append(decoded, evacuation.Change{Zone: zone, Version: change.Version, Deleted: change.Deleted})
	}
	return decoded
}

// reject counts a row that names no data centre.
func (e *evacuations) reject(change table.Change) {
	e.metrics.events.WithLabelValues("evacuation invalid").Inc()
	if e.invalid++; e.invalid <= maxEvacuationLines {
		klog.InfoS("evacuation invalid", "row", change.Key, "version", change.Version, "deleted", change.Deleted)
	}
}

// log counts and logs changes of the requests.
func (e *evacuations) log(changes []evacuation.Change) {
	requests := len(e.holder.Snapshot().Requests)
	e.metrics.evacuationRequests.Set(float64(requests))
	for i, change := range changes {
		event := "evacuation requested"
		if change.Deleted {
			event = "evacuation request removed"
		}
		e.metrics.events.WithLabelValues(event).Inc()
		if i < maxEvacuationLines {
			klog.InfoS(event, "zone", change.Zone, "version", change.Version)
		}
	}
	if more := len(changes) - maxEvacuationLines; more > 0 {
		klog.InfoS("evacuation requests changed", "more", more, "requests", requests)
	}
}

// confirm records that the requests were complete at a time.
func (e *evacuations) confirm(at time.Time) {
	if e.enabled() {
		e.holder.Confirm(at)
	}
}

// nextFeedWait returns how long the next answer of the feed may wait for changes, after a call
// with an error or none. The leader gets it at once after an error: it may hold starts until the
// requests are confirmed.
func (g *Gate) nextFeedWait(err error) time.Duration {
	if err != nil && g.evacuations.enabled() && g.localLeader() != nil {
		return 0
	}
	return feedWait
}

// feedPrefix returns the prefix of the rows that the gate follows.
func (g *Gate) feedPrefix() table.Key {
	if g.evacuations.enabled() {
		return g.config.Evacuations.FeedPrefix
	}
	return g.config.ConfigurationKey
}

// reloadEvacuations reads all requests. askedAt is the time before it reads the version that
// they are at least of.
func (g *Gate) reloadEvacuations(askedAt time.Time) error {
	if !g.evacuations.enabled() {
		return nil
	}
	rows, err := scanAll(g.ctx, g.table, g.config.Evacuations.Prefix)
	if err != nil {
		klog.InfoS("evacuations not read", "reason", err)
		return err
	}
	g.evacuations.reload(askedAt, rows)
	g.evacuations.confirm(askedAt)
	return nil
}
