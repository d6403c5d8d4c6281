package gate

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/lovageroad/lovageroad/internal/account"
)

const (
	// DefaultRate is the number of requests per second that a gate accepts from
	// one account.
	DefaultRate rate.Limit = 200

	// DefaultBurst is the largest burst of requests of one account.
	DefaultBurst = 400
)

// limiter limits the request rate of each account. Tokens are checked before it
// is called, so that it holds known accounts only.
type limiter struct {
	limit    rate.Limit
	burst    int
	accounts map[account.Name]*rate.Limiter
}

// WithRate sets the requests per second that a gate accepts from one account,
// and the largest burst.
func WithRate(limit rate.Limit, burst int) Option {
	return func(c *Config) { c.Rate, c.Burst = limit, burst }
}

func newLimiter(config Config) *limiter {
	return &limiter{limit: config.Rate, burst: config.Burst, accounts: make(map[account.Name]*rate.Limiter)}
}

// checkRate returns a RateError if the account exceeds its request rate.
func (l *limiter) checkRate(now time.Time, name account.Name) error {
	a, ok := l.accounts[name]
	if !ok {
		a = rate.NewLimiter(l.limit, l.burst)
		l.accounts[name] = a
	}
	if a.AllowN(now, 1) {
		return nil
	}
	return &RateError{Account: name, After: time.Duration(float64(time.Second) / float64(l.limit))}
}
