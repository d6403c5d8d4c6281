package gate

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/lovageroad/lovageroad/internal/account"
)

const (
	// DefaultRate is the number of requests per second that a gate takes from one
	// account.
	DefaultRate rate.Limit = 200

	// DefaultBurst is the number of requests that an account may make at once.
	DefaultBurst = 400
)

// limiter bounds the rate of requests of each account. It holds known accounts
// only.
type limiter struct {
	limit    rate.Limit
	burst    int
	accounts map[account.Name]*rate.Limiter
}

// WithRate sets the requests per second that a gate takes from one account, and
// how many may come at once.
func WithRate(limit rate.Limit, burst int) Option {
	return func(c *Config) { c.Rate, c.Burst = limit, burst }
}

func newLimiter(config Config) *limiter {
	return &limiter{limit: config.Rate, burst: config.Burst, accounts: make(map[account.Name]*rate.Limiter)}
}

// check returns a RateError if the account makes too many requests.
func (l *limiter) check(now time.Time, name account.Name) error {
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
