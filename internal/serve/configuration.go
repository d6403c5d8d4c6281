package serve

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/lovageroad/lovageroad/pkg/boottime"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// watch follows the configuration.
func (g *Gate) watch() {
	var after table.Version
	for g.ctx.Err() == nil {
		asked := boottime.Now()
		if after == 0 {
			after = g.reread(asked)
			continue
		}
		changes, version, err := g.table.Changes(g.ctx, g.config.Key, after, feedWait)
		var history *table.HistoryError
		switch {
		case errors.As(err, &history):
			klog.InfoS("history of the table is gone", "after", after)
			after = 0
			continue
		case err != nil:
			g.pause(retryPause)
			continue
		}
		for _, change := range changes {
			if !change.Deleted {
				g.accept(change.Row, asked)
			}
		}
		g.holder.Confirm(asked)
		after = max(after, version)
	}
}

// reread reads the configuration and returns the version after which changes
// are to be followed, or 0 if it could not be read.
func (g *Gate) reread(asked time.Time) table.Version {
	newest, err := g.table.Newest(g.ctx)
	if err == nil {
		err = g.Refresh(g.ctx)
	}
	if err != nil || newest == 0 {
		g.pause(retryPause)
		return 0
	}
	if c, _ := g.holder.Current(); c == nil {
		g.pause(retryPause)
		return 0
	}
	g.holder.Confirm(asked)
	return newest
}

// Refresh reads the configuration.
func (g *Gate) Refresh(ctx context.Context) error {
	asked := boottime.Now()
	rows, err := g.table.Read(ctx, []table.Key{g.config.Key})
	if err != nil {
		return err
	}
	for _, row := range rows {
		g.accept(row, asked)
	}
	return nil
}

func (g *Gate) accept(row table.Row, asked time.Time) {
	c, err := g.config.Decode(row.Value)
	if err != nil {
		klog.ErrorS(err, "configuration unreadable", "row", row.Version)
		return
	}
	if !g.holder.Accept(c, row.Version, asked) {
		return
	}
	g.metrics.version.Set(float64(c.Version))
	klog.InfoS("configuration in force", "version", c.Version, "row", row.Version, "queues", len(c.Queues), "accounts", len(c.Accounts))
	if l := g.leading(); l != nil {
		l.configure(c)
	}
}
