package runner

import "math"

// fenceReserve is the number of unanswered starts and restarts under one fence from which on the
// agent asks the leader for another: half of those that a fencing token can count, so that the
// answer arrives long before the rest is used up.
const fenceReserve = 1 << 15

// nextToken returns the fencing token of the next call.
func (c *Core) nextToken() Token {
	return Token(c.epoch)<<32 | Token(c.fence)<<16 | Token(c.unansweredStarts)
}

// raiseToken makes the tokens of the next calls higher than those of all calls before. If the
// leader has granted no further fence when the counter is used up, the agent takes the one that
// its reports have asked for. The highest token of an epoch stays.
func (c *Core) raiseToken() {
	switch {
	case c.unansweredStarts < math.MaxUint16:
		c.unansweredStarts++
	case c.fence < math.MaxUint16:
		c.adoptFence(c.fence + 1)
	default:
		c.log("fencing tokens used up", "epoch", c.epoch, "token", c.nextToken())
	}
}

// adoptFence takes a fence that the leader has granted, unless it is not above the present one.
func (c *Core) adoptFence(fence uint16) {
	if fence <= c.fence {
		return
	}
	if c.unansweredStarts >= fenceReserve {
		c.log("fence raised", "epoch", c.epoch, "fence", fence, "before", c.fence, "unanswered", c.unansweredStarts)
	}
	c.fence, c.unansweredStarts = fence, 0
}

// neededFence returns the fence that the agent uses, or the next one if it needs that soon.
func (c *Core) neededFence() uint16 {
	if c.unansweredStarts >= fenceReserve && c.fence < math.MaxUint16 {
		return c.fence + 1
	}
	return c.fence
}
