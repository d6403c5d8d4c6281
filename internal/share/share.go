// Package share orders what client accounts wait for when a pool's capacity doesn't
// suffice for all of it. It equalises the accounts' shares by progressive filling: the
// next claim served is one of the account that holds the least beyond its guarantee.
//
// It is pure and keeps no state between calls: what each account holds is given anew.
package share

import (
	"container/heap"

	"github.com/lovageroad/lovageroad/internal/work"
)

type (
	// Claim is capacity that an account waits for.
	Claim struct {
		Account work.AccountID
		Request work.Resources
	}

	// Pool is the capacity for which accounts compete, and what each of them holds of it.
	Pool struct {
		capacity  work.Resources
		guarantee func(work.AccountID) int64
		held      map[work.AccountID]work.Resources
	}

	// turn is the claims of one account that have not been served yet, as indexes.
	turn struct {
		share  float64
		claims []int
	}

	// turns is a heap of the accounts' turns: the least share is first, and of equal ones
	// that of the claim that was given first.
	turns []*turn
)

// NewPool returns a pool of which nothing is held. The function guarantee returns the
// accelerators that are guaranteed to an account.
func NewPool(capacity work.Resources, guarantee func(work.AccountID) int64) *Pool {
	return &Pool{capacity: capacity, guarantee: guarantee, held: make(map[work.AccountID]work.Resources)}
}

// Hold adds to what the account holds.
func (p *Pool) Hold(c Claim) {
	p.held[c.Account] = p.held[c.Account].Add(c.Request)
}

// Share returns the account's dominant share of the pool beyond its guarantee: the largest
// of its shares of the accelerators, the processor and the memory, less the share of the
// accelerators that is guaranteed to it. It is negative while the account holds less than
// its guarantee.
func (p *Pool) Share(account work.AccountID) float64 {
	held := p.held[account]
	dominant := max(
		fraction(held.Accelerators, p.capacity.Accelerators),
		fraction(int64(held.Processor), int64(p.capacity.Processor)),
		fraction(int64(held.Memory), int64(p.capacity.Memory)),
	)
	return dominant - fraction(p.guarantee(account), p.capacity.Accelerators)
}

// Shares returns the share beyond its guarantee of each account that holds anything.
func (p *Pool) Shares() map[work.AccountID]float64 {
	shares := make(map[work.AccountID]float64, len(p.held))
	for account := range p.held {
		shares[account] = p.Share(account)
	}
	return shares
}

// Fill returns the indexes of the claims in the order in which they are to be served, and
// counts them as held. First come, in the order given, the claims of accounts that then hold
// less than an equal part of the pool beyond their guarantees. The others follow by
// progressive filling: the next one is always of the account that holds the least. Those of
// one account stay in the order given.
func (p *Pool) Fill(claims []Claim) []int {
	order := make([]int, 0, len(claims))
	byAccount := make(map[work.AccountID]*turn)
	var waiting turns
	equal := p.equalShare(claims)
	for i, c := range claims {
		t := byAccount[c.Account]
		if t == nil && p.Share(c.Account) < equal {
			order = append(order, i)
			p.Hold(c)
			continue
		}
		if t == nil {
			t = &turn{}
			byAccount[c.Account] = t
			waiting = append(waiting, t)
		}
		t.claims = append(t.claims, i)
	}
	for _, t := range waiting {
		t.share = p.Share(claims[t.claims[0]].Account)
	}
	heap.Init(&waiting)
	for len(waiting) > 0 {
		t := waiting[0]
		i := t.claims[0]
		order = append(order, i)
		p.Hold(claims[i])
		t.share, t.claims = p.Share(claims[i].Account), t.claims[1:]
		if len(t.claims) == 0 {
			heap.Pop(&waiting)
			continue
		}
		heap.Fix(&waiting, 0)
	}
	return order
}

// equalShare returns the share of each account if those that hold or claim anything had
// equal parts of the pool.
func (p *Pool) equalShare(claims []Claim) float64 {
	accounts := make(map[work.AccountID]bool, len(p.held))
	for account := range p.held {
		accounts[account] = true
	}
	for _, c := range claims {
		accounts[c.Account] = true
	}
	return 1 / float64(max(len(accounts), 1))
}

// fraction returns part / whole, or 0 if there is no whole.
func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Len returns the number of turns.
func (t turns) Len() int { return len(t) }

// Less reports whether turn i is served before turn j.
func (t turns) Less(i, j int) bool {
	if t[i].share != t[j].share {
		return t[i].share < t[j].share
	}
	return t[i].claims[0] < t[j].claims[0]
}

// Swap swaps two turns.
func (t turns) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push adds a turn.
func (t *turns) Push(x any) { *t = append(*t, x.(*turn)) }

// Pop removes the last turn.
func (t *turns) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}
