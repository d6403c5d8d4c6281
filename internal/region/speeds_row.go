package region

import (
	"time"

	"github.com/lovageroad/lovageroad/pkg/table"
)

// speedsWriteInterval is the shortest time between two writes of the speeds of workers. If a
// leader fails, only what was learned in this time is lost.
const speedsWriteInterval = 4 * time.Second

// saveSpeeds adds the speeds of workers to a batch if they have changed, the last write is
// long enough ago, and the batch has no run-time statistics, so that the largest batch stays
// as it is.
func (c *Core) saveSpeeds(b *Batch) {
	if b.samples > 0 || c.speeds.Changes() <= c.savedSpeeds || !c.mayWrite(&c.speedsRow) || c.now.Sub(c.speedsWritten) < speedsWriteInterval {
		return
	}
	value, left, err := c.speeds.Encode(c.config.RowBytes)
	if err != nil || len(value) > c.config.RowBytes {
		c.log(LogEntry{Event: "speeds not encoded", Count: len(value)})
		return
	}
	if left > 0 {
		c.log(LogEntry{Event: "speeds left out", Count: left})
	}
	c.speedsWritten = c.now
	b.speeds, b.speedsRow = c.speeds.Changes(), &c.speedsRow
	b.Txn.Checks = append(b.Txn.Checks, c.speedsRow.check())
	b.Txn.Writes = append(b.Txn.Writes, table.Write{Key: c.speedsRow.key, Value: value})
}

// loadSpeeds loads the speeds of workers that an earlier leader wrote.
func (c *Core) loadSpeeds(row table.Row) {
	if row.Key != SpeedsKey {
		return
	}
	c.speedsRow.version = row.Version
	ignored, err := c.speeds.Decode(row.Value)
	for _, id := range c.speeds.All() {
		c.knownSpeeds[id] = speedClassOf(c.speeds.Estimate(id))
	}
	if len(c.knownSpeeds) > 0 {
		c.log(LogEntry{Event: "speeds loaded", Outcome: unevenOutcome(c.speeds.Uneven()), Count: len(c.knownSpeeds), Version: row.Version})
	}
	switch {
	case err != nil:
		c.log(LogEntry{Event: "speeds unreadable", Outcome: err.Error(), Version: row.Version})
	case ignored > 0:
		c.log(LogEntry{Event: "speeds unreadable", Outcome: "out of range", Count: ignored, Version: row.Version})
	}
}
