package serve

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/lovageroad/lovageroad/pkg/boottime"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// followConfiguration reads the configuration and the requests to evacuate data centres,
// and then follows their changes in the table, until the gate ends.
func (g *Gate) followConfiguration() {
	var after table.Version
	wait := feedWait
	for g.ctx.Err() == nil {
		askedAt := boottime.Now()
		if after == 0 {
			after = g.reloadConfiguration(askedAt)
			continue
		}
		changes, version, err := g.table.Changes(g.ctx, g.feedPrefix(), after, wait)
		wait = g.nextFeedWait(err)
		var historyErr *table.HistoryError
		switch {
		case errors.As(err, &historyErr):
			klog.InfoS("table changes dropped before they were read; reading the configuration again", "after", after)
			after = 0
			continue
		case err != nil:
			g.pause(retryDelay)
			continue
		}
		for _, change := range changes {
			if !change.Deleted && change.Key == g.config.ConfigurationKey {
				g.applyRow(change.Row, askedAt)
			}
		}
		g.evacuations.apply(boottime.Now(), changes)
		g.holder.Confirm(askedAt)
		g.evacuations.confirm(askedAt)
		after = max(after, version)
	}
}

// reloadConfiguration reads the whole configuration and all evacuations, and returns the table
// version after which changes are to be followed. It returns 0, after a pause,
// if there is no configuration or it could not be read. askedAt is the time
// before the request.
func (g *Gate) reloadConfiguration(askedAt time.Time) table.Version {
	newest, err := g.table.Newest(g.ctx)
	if err == nil {
		err = g.Refresh(g.ctx)
	}
	if err != nil || newest == 0 {
		g.pause(retryDelay)
		return 0
	}
	if c, _ := g.holder.Current(); c == nil {
		g.pause(retryDelay)
		return 0
	}
	g.holder.Confirm(askedAt)
	if err := g.reloadEvacuations(askedAt); err != nil {
		g.pause(retryDelay)
		return 0
	}
	return newest
}

// Refresh reads the configuration's row from the table and applies it if it is
// newer. It returns the table's error; a row that can't be decoded is only
// logged.
func (g *Gate) Refresh(ctx context.Context) error {
	askedAt := boottime.Now()
	rows, err := g.table.Read(ctx, []table.Key{g.config.ConfigurationKey})
	if err != nil {
		return err
	}
	for _, row := range rows {
		g.applyRow(row, askedAt)
	}
	return nil
}

// applyRow decodes a row of the configuration and applies it if it is newer than
// the one held. askedAt is the time before the request that read it.
func (g *Gate) applyRow(row table.Row, askedAt time.Time) {
	c, err := g.config.Decode(row.Value)
	if err != nil {
		klog.ErrorS(err, "configuration unreadable", "row", row.Version)
		return
	}
	if !g.holder.Accept(c, row.Version, askedAt) {
		return
	}
	g.metrics.configurationVersion.Set(float64(c.Version))
	klog.InfoS("configuration in force", "version", c.Version, "row", row.Version, "queues", len(c.Queues), "accounts", len(c.Accounts))
}
