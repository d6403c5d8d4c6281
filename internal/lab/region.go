package lab

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// RegionID is the name of the simulated region.
	RegionID floor.RegionID = "region"

	// Tenant is the only client account of the simulated region.
	Tenant account.Name = "tenant"

	// Secret is the token of the account.
	Secret = "secret"
)

// Region is a Simulation with the gates, agents, runners and callers of one region.
type Region struct {
	*Simulation
	Gates   []*Process
	Runners []*Runner
	Callers *Callers
}

// NewRegion returns a region with the given numbers of gates and agents. There are
// three agents to a rack and twelve to a data centre.
func NewRegion(seed uint64, gates, agents int, options ...gate.Option) *Region {
	r := &Region{Simulation: New(seed)}
	r.Callers = newCallers(r)
	r.createAccount()
	var nodes []machine.Node
	for i := range gates {
		nodes = append(nodes, machine.Node(fmt.Sprintf("gate-%d", i+1)))
	}
	for _, node := range nodes {
		r.Gates = append(r.Gates, r.Simulation.Add(node, func(p *Process) machine.Machine {
			all := append([]gate.Option{gate.WithSeed(seed + p.Incarnation()), gate.WithGates(nodes...)}, options...)
			return gate.New(p.Node(), RegionID, all...)
		}, r.handle, gate.Start{}))
	}
	for i := range agents {
		worker := floor.Worker{
			ID:           floor.WorkerID(fmt.Sprintf("worker-%02d", i+1)),
			Rack:         floor.RackID(fmt.Sprintf("rack-%d", i/3+1)),
			DataCentre:   floor.DataCentreID(fmt.Sprintf("dc-%d", i/12+1)),
			Region:       RegionID,
			Accelerators: 8,
			Cores:        32,
			Memory:       64 << 10,
			Slots:        8,
		}
		node := machine.Node(fmt.Sprintf("agent-%02d", i+1))
		r.Runners = append(r.Runners, r.AddAgent(node, worker, nodes))
	}
	return r
}

// Leader returns the gate that believes that it is the leader, or nil if there is none.
// If there are several, it returns the one with the highest epoch.
func (r *Region) Leader() *Process {
	var leader *Process
	highest := uint64(0)
	for _, p := range r.Gates {
		if !p.Up() {
			continue
		}
		current, held := p.Machine().(*gate.Gate).Leader()
		if held && uint64(current.Epoch) > highest {
			leader, highest = p, uint64(current.Epoch)
		}
	}
	return leader
}

// createAccount writes the account Tenant into the store.
func (r *Region) createAccount() {
	value, err := json.Marshal(account.Account{
		Name:       Tenant,
		Region:     RegionID,
		Parameters: account.DefaultParameters(),
		Tokens:     []account.TokenHash{account.HashToken(Secret)},
	})
	if err != nil {
		panic(err)
	}
	txn := table.Txn{Writes: []table.Write{{Key: gate.AccountKey(RegionID, Tenant), Value: value}}}
	if _, err := r.Store.Memory.Commit(context.Background(), txn); err != nil {
		panic(err)
	}
}

// handle passes the replies of gates to the callers.
func (r *Region) handle(p *Process, effect machine.Effect) {
	if reply, ok := effect.(gate.Reply); ok {
		r.Callers.reply(p, reply)
	}
}
